"""Proves that the deploy file's build needs nothing but its own packages.

Builds a copy of the repository without its tests, as a user without rights,
with the command of the deploy file, and traces what that uses. Fails where
something belongs to no package that a clean machine with the file's packages
would hold. The packages must be installed; others may be.

    python3 .ci/deploy_build [--uses] [--limit SECONDS] [REPOSITORY]
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path

from build_trace import BuildTrace, run_traced
from deploy_file import DeployFileError, read_deploy_file
from package_index import PackageError, PackageIndex, closure_of, owners_of
from verdict import faults_of, foreign_files, stray_outputs

DEPLOY_FILE = Path("deploy/system.toml")
BUILD_LIMIT_S = 900.0  # the platform's
USER_WITHOUT_RIGHTS = "nobody"
TEST_FOLDERS = frozenset({"test", "tests"})
MOST_FAULTS_SHOWN = 40


def copy_sources(repository: Path, copy: Path) -> None:
    """Copies the files that git tracks, as they are, but for the tests."""
    listed = subprocess.run(
        ["git", "ls-files", "-z"], cwd=repository, capture_output=True,
        text=True, check=True,
    )  # fmt: skip
    for name in filter(None, listed.stdout.split("\0")):
        path = Path(name)
        if TEST_FOLDERS.isdisjoint(path.parts) and (repository / path).is_file():
            (copy / path.parent).mkdir(parents=True, exist_ok=True)
            shutil.copy(repository / path, copy / path)


def files_below(folder: Path) -> frozenset[Path]:
    """All files below `folder`, as paths from there."""
    return frozenset(
        path.relative_to(folder) for path in folder.rglob("*") if path.is_file()
    )


def print_uses(trace: BuildTrace, own: list[Path]) -> None:
    """Prints the packages that the build used, with the number of files."""
    paths = {os.path.realpath(use.path) for use in trace.files}
    system = [
        path
        for path in paths
        if os.path.isfile(path)
        and not path.startswith(tuple(f"{folder}/" for folder in own))
    ]
    counts = Counter(owner for path in system for owner in owners_of(path))
    for package, files in sorted(counts.items()):
        print(f"{package}: {files} files")


def check(repository: Path, show_uses: bool, limit_s: float) -> list[str]:
    """Builds and traces; answers with a line for each fault."""
    deploy = read_deploy_file(repository / DEPLOY_FILE)
    closure = closure_of(deploy.packages)
    user = USER_WITHOUT_RIGHTS if os.geteuid() == 0 else None
    with tempfile.TemporaryDirectory() as made:
        scratch = Path(made).resolve()
        own = [scratch / name for name in ("source", "home", "tmp")]
        for folder in (*own, scratch / "trace"):
            folder.mkdir()
        copy_sources(repository, own[0])
        before = files_below(own[0])
        if user is not None:
            for path in (scratch, *scratch.rglob("*")):
                shutil.chown(path, user)
        trace = run_traced(deploy.build, own[0], scratch, user, limit_s)
        strays = stray_outputs(before, files_below(own[0]))
        index = PackageIndex(closure)
        foreign = foreign_files(trace.files, own, index.owns)
        if show_uses:
            print_uses(trace, own)
        return faults_of(trace, foreign, strays, owners_of)


def main() -> int:
    """Returns 0 if the build needs nothing else, 1 if it does, 2 on errors."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--uses", action="store_true", help="print packages used")
    parser.add_argument(
        "--limit", type=float, default=BUILD_LIMIT_S, help="seconds for the build"
    )
    parser.add_argument("repository", nargs="?", type=Path, default=Path.cwd())
    arguments = parser.parse_args()
    try:
        faults = check(
            arguments.repository.resolve(), arguments.uses, arguments.limit
        )
    except (DeployFileError, PackageError) as error:
        print(error, file=sys.stderr)
        return 2
    except subprocess.TimeoutExpired:
        faults = [f"the build took longer than {arguments.limit:g} s"]
    for fault in faults[:MOST_FAULTS_SHOWN]:
        print(fault)
    if len(faults) > MOST_FAULTS_SHOWN:
        print(f"and {len(faults) - MOST_FAULTS_SHOWN} more")
    print(f"deploy build: {len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
