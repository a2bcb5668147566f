"""Which files the packages of a clean machine bring."""

import os
import re
import subprocess
from collections.abc import Iterable


ALTERNATIVES = "/etc/alternatives/"
LONGEST_CHAIN = 40  # links, as the kernel's own bound


class PackageError(Exception):
    """Packages that can't be installed together, or can't be looked up."""


def closure_of(packages: Iterable[str]) -> frozenset[str]:
    """All packages of an empty machine on which `packages` were installed.

    Nothing is installed, and what this machine holds makes no difference.
    Essential packages belong to every machine.
    """
    simulated = _run(
        "apt-get", "--simulate", "--option=Dir::State::status=/dev/null",
        "--option=APT::Install-Recommends=0", "install", "?essential",
        *packages,
    )  # fmt: skip
    return frozenset(re.findall(r"^Inst (\S+)", simulated, re.MULTILINE))


class PackageIndex:
    """The files that some installed packages own."""

    def __init__(self, packages: Iterable[str]) -> None:
        """Indexes those of `packages` that this machine holds."""
        self._folders: dict[str, str] = {}
        wanted = frozenset(packages)
        held = [name for name in _installed() if name.split(":")[0] in wanted]
        listed = _run("dpkg-query", "--listfiles", *held) if held else ""
        self._files = frozenset(
            self.located(line) for line in listed.splitlines() if line[:1] == "/"
        )

    def located(self, path: str) -> str:
        """`path` with links among its folders followed, but not its last part.

        Debian's own lists name files below /lib that lie below /usr/lib.
        """
        folder, name = os.path.split(path)
        if folder not in self._folders:
            self._folders[folder] = os.path.realpath(folder)
        return os.path.join(self._folders[folder], name)

    def owns(self, path: str) -> bool:
        """Whether a package brings `path`, a link as well as what it names.

        Links in /etc/alternatives, and to there, are made as packages are
        installed, and so are owned if their end is.
        """
        link = self.located(path)
        for _ in range(LONGEST_CHAIN):
            if not os.path.islink(link):
                return link in self._files
            target = self.located(
                os.path.join(os.path.dirname(link), os.readlink(link))
            )
            if link not in self._files and not (
                link.startswith(ALTERNATIVES) or target.startswith(ALTERNATIVES)
            ):
                return False
            link = target
        return False


def owners_of(path: str) -> tuple[str, ...]:
    """The installed packages that own a file or a link, for messages."""
    folder, name = os.path.split(path)
    located = os.path.join(os.path.realpath(folder), name)
    for spelling in (located, located.removeprefix("/usr")):
        found = subprocess.run(
            ["dpkg-query", "--search", spelling], capture_output=True,
            text=True, check=False,
        )  # fmt: skip
        owned = re.search(r"^(?!diversion)([^/\n]+): /", found.stdout, re.MULTILINE)
        if owned is not None:
            names = owned.group(1).split(", ")
            return tuple(name.split(":")[0] for name in names)
    return ()


def _installed() -> list[str]:
    shown = _run(
        "dpkg-query", "--show",
        "--showformat=${db:Status-Status} ${binary:Package}\n",
    )  # fmt: skip
    return re.findall(r"^installed (\S+)$", shown, re.MULTILINE)


def _run(*command: str) -> str:
    ended = subprocess.run(command, capture_output=True, text=True, check=False)
    if ended.returncode != 0:
        raise PackageError(f"{command[0]} failed: {ended.stderr.strip()}")
    return ended.stdout
