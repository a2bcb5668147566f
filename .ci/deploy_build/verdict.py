"""Decides whether what a build used is what the deploy file allows it."""

import os
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

from build_trace import BuildTrace, FileUse

# The kernel's own files, and settings that every machine makes for itself:
# which folders the dynamic loader searches, which users there are.
MACHINE_FILES = (
    "/proc/", "/sys/", "/dev/", "/etc/ld.so.", "/etc/passwd",
    "/etc/nsswitch.conf",
)  # fmt: skip

# They load each plugin that the machine has; none of it reaches an archive.
ARCHIVERS = frozenset({"ar", "ranlib"})

OUTPUT_FOLDER = "target"


def foreign_files(
    uses: Iterable[FileUse],
    own_folders: Sequence[Path],
    is_allowed: Callable[[str], bool],
) -> list[FileUse]:
    """The uses of files, in order, that neither lie in the build's own folders
    nor come from a package that it may use."""
    own = tuple(f"{folder}/" for folder in own_folders)
    return [
        use
        for use in sorted(uses)
        if os.path.isfile(use.path)
        and not os.path.realpath(use.path).startswith((*own, *MACHINE_FILES))
        and not is_allowed(use.path)
        and not (use.program in ARCHIVERS and ".so" in Path(use.path).suffixes)
    ]


def stray_outputs(before: frozenset[Path], after: frozenset[Path]) -> list[Path]:
    """Files that a build made or removed outside the folder for its output."""
    return sorted(
        path for path in before ^ after if path.parts[0] != OUTPUT_FOLDER
    )


def faults_of(
    trace: BuildTrace,
    foreign: Iterable[FileUse],
    strays: Iterable[Path],
    owners_of: Callable[[str], Sequence[str]],
) -> list[str]:
    """A line for each reason why the build would not do on a clean machine."""
    faults = [
        f"{os.path.normpath(use.path)}: used by {use.program}, from "
        f"{', '.join(owners_of(use.path)) or 'no package'}: "
        "not brought by the packages of the deploy file"
        for use in foreign
    ]
    faults += [
        f"{program}: opened a socket for the internet; a build downloads nothing"
        for program in sorted(trace.internet_programs)
    ]
    faults += [
        f"{path}: written outside {OUTPUT_FOLDER}/, where all output belongs"
        for path in strays
    ]
    if trace.exit_code != 0:
        faults.append(f"the build command ended with {trace.exit_code}")
    return faults
