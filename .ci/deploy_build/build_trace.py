"""Runs a build under strace and tells which files and sockets it used."""

import os
import re
import signal
import subprocess
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

# Opened, run or found: a file that is only looked for decides what a build
# does just as one that it reads.
TRACED_CALLS = (
    "execve,open,openat,stat,lstat,newfstatat,statx,access,faccessat,"
    "faccessat2,readlink,readlinkat,socket"
)
LONGEST_PATH = 4096  # bytes
INTERNET_FAMILIES = ("AF_INET", "AF_INET6")

_CALL = re.compile(r"^(\w+)\((.*)\)\s+= \d+(?:<(.*)>)?$")
_FOLDER = re.compile(r"^(?:AT_FDCWD|\d+)<(/.*?)>, ")
_QUOTED = re.compile(r'"((?:[^"\\]|\\.)*)"')


@dataclass(frozen=True, order=True)
class FileUse:
    """A file that exists and that `program` opened, ran or found."""

    path: str
    program: str


@dataclass(frozen=True)
class BuildTrace:
    """What a build used, and how its command ended."""

    exit_code: int
    files: frozenset[FileUse]
    internet_programs: frozenset[str]


def run_traced(
    command: str, folder: Path, scratch: Path, user: str | None, limit_s: float
) -> BuildTrace:
    """Runs the shell command in `folder` as `user` (None: the caller's own).

    `scratch` must be writable by that user; the trace, the home folder and
    temporary files lie there. Raises subprocess.TimeoutExpired after the limit.
    """
    traces = scratch / "trace"
    strace = [
        "strace", "--follow-forks", "--output-separately", "--seccomp-bpf",
        "--decode-fds=path", "--quiet=attach,exit", "--successful-only",
        f"--string-limit={LONGEST_PATH}", f"--trace={TRACED_CALLS}",
        f"--output={traces}/process",
    ]  # fmt: skip
    environment = {
        "PATH": "/usr/local/sbin:/usr/local/bin:/usr/sbin:/usr/bin:/sbin:/bin",
        "HOME": str(scratch / "home"),
        "TMPDIR": str(scratch / "tmp"),
        "LC_ALL": "C",
    }
    traced = subprocess.Popen(
        [*strace, "sh", "-c", command],
        cwd=folder,
        env=environment,
        user=user,
        extra_groups=None if user is None else [],
        stdin=subprocess.DEVNULL,
        start_new_session=True,
    )
    try:
        exit_code = traced.wait(limit_s)
    except subprocess.TimeoutExpired:
        # Without its tracer a build would go on.
        os.killpg(traced.pid, signal.SIGKILL)
        traced.wait()
        raise
    return parse_traces(exit_code, sorted(traces.iterdir()))


def parse_traces(exit_code: int, traces: Iterable[Path]) -> BuildTrace:
    """Reads the traces, one file a process."""
    files: set[FileUse] = set()
    internet: set[str] = set()
    for trace in traces:
        with trace.open(encoding="utf-8", errors="surrogateescape") as lines:
            _add_process(lines, files, internet)
    return BuildTrace(exit_code, frozenset(files), frozenset(internet))


def _add_process(
    lines: Iterable[str], files: set[FileUse], internet: set[str]
) -> None:
    """Adds what one process used, under the program that it ran just then."""
    program = "a forked process"
    for line in lines:
        call = _CALL.match(line.rstrip("\n"))
        if call is None:
            continue
        name, arguments, opened = call.groups()
        if name == "socket":
            if arguments.startswith(INTERNET_FAMILIES):
                internet.add(program)
            continue
        paths = _paths_of(arguments, opened)
        if name == "execve" and paths:
            program = os.path.basename(paths[0])
        files.update(FileUse(path, program) for path in paths)


def _paths_of(arguments: str, opened: str | None) -> list[str]:
    """The file as it was named, if absolute, and as the kernel opened it."""
    paths = [opened] if opened is not None and os.path.isabs(opened) else []
    quoted = _QUOTED.search(arguments)
    if quoted is None:
        return paths
    folder = _FOLDER.match(arguments)
    named = os.path.join(folder.group(1) if folder else "", quoted.group(1))
    if os.path.isabs(named):
        paths.insert(0, named)
    return paths
