"""Reads how the platform builds the project from its deploy file."""

import tomllib
from dataclasses import dataclass
from pathlib import Path


class DeployFileError(Exception):
    """The deploy file can't be used; the text names the place and the rule."""


@dataclass(frozen=True)
class DeployFile:
    """The build command and the Debian packages that it may use."""

    build: str
    packages: tuple[str, ...]


def read_deploy_file(path: Path) -> DeployFile:
    """Reads `path`; raises DeployFileError where a needed value is wrong."""
    try:
        fields = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise DeployFileError(f"{path}: {error}") from error
    build = fields.get("build")
    if not isinstance(build, str) or not build.strip():
        raise DeployFileError(f"{path}: build: must be a command")
    packages = fields.get("packages")
    if not isinstance(packages, list) or not all(
        isinstance(name, str) and name for name in packages
    ):
        raise DeployFileError(f"{path}: packages: must be a list of names")
    return DeployFile(build, tuple(packages))
