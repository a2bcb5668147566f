#!/bin/sh
# The stand-ins of the cases from 4 on are Python scripts, which need no build:
# this checks that they can be run. The programs come from the deploy file's build.
set -eu
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
test -x "$here/../target/bin/crowlinkd"
python3 - "$here" <<'PYTHON'
import pathlib
import sys

here = pathlib.Path(sys.argv[1])
assert sys.version_info >= (3, 11), "tomllib is in the standard library from 3.11 on"
used = [*here.glob("standins_2/*.py"), *here.glob("[4-8]/*.py")]
used.append(here.parent / "bench" / "power_losses" / "settings_template.py")
for path in used:
    compile(path.read_text(), str(path), "exec")
print(f"{len(used)} scripts compile")
PYTHON
