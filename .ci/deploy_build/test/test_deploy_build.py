"""Runs the check on small projects, each with one fault of its own.

Needs the project's packages for CI, as far as the faults use them.
"""

import subprocess
import sys
import tempfile
import unittest
from collections.abc import Sequence
from pathlib import Path

CHECK = Path(__file__).resolve().parents[1]

# The standard library looks for TBB wherever a program includes it.
COMPILER = ["build-essential", "cmake", "libtbb-dev"]
CALM_PACKAGES = [*COMPILER, "libfmt-dev"]
CALM_LISTS = """
cmake_minimum_required(VERSION 3.25)
project(sample LANGUAGES CXX)
find_package(fmt REQUIRED)
add_executable(sample main.cpp)
target_link_libraries(sample fmt::fmt)
"""
CALM_MAIN = """
#include <fmt/core.h>
int main() { fmt::print("{}", 1); }
"""
CALM_BUILD = "cmake -S . -B target && cmake --build target"


class DeployBuild(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.project = Path(made.name)
        Path(made.name).chmod(0o755)
        self.write("main.cpp", CALM_MAIN)
        self.write("CMakeLists.txt", CALM_LISTS)

    def write(self, name: str, text: str) -> None:
        (self.project / name).parent.mkdir(parents=True, exist_ok=True)
        (self.project / name).write_text(text)

    def check(
        self,
        build: str = CALM_BUILD,
        packages: list[str] = CALM_PACKAGES,
        options: Sequence[str] = (),
    ) -> tuple[int, str]:
        """Exit code and output for the project with this deploy file."""
        self.write(
            "deploy/system.toml", f"build = {build!r}\npackages = {packages!r}\n"
        )
        for command in (["git", "init", "-q"], ["git", "add", "-A"]):
            subprocess.run(command, cwd=self.project, check=True)
        ended = subprocess.run(
            [sys.executable, CHECK, *options, self.project],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            check=False,
        )
        return ended.returncode, ended.stdout

    def expect_fault(self, result: tuple[int, str], *words: str) -> None:
        self.assertEqual(result[0], 1, result[1])
        for word in words:
            self.assertIn(word, result[1])

    def test_a_build_of_listed_packages_passes(self) -> None:
        code, output = self.check()
        self.assertEqual(code, 0, output)
        self.assertIn("deploy build: 0 faults", output)

    def test_a_package_taken_out_of_the_list_is_named(self) -> None:
        result = self.check(packages=COMPILER)
        self.expect_fault(result, "/usr/include/fmt/core.h", "libfmt-dev")

    def test_a_package_that_is_only_looked_for_is_named(self) -> None:
        self.write("CMakeLists.txt", CALM_LISTS + "find_package(rapidcheck)\n")
        self.expect_fault(self.check(), "rapidcheckConfig.cmake", "librapidcheck")

    def test_a_tool_that_is_only_looked_for_is_named(self) -> None:
        self.write("CMakeLists.txt", CALM_LISTS + "find_program(tidy clang-tidy)\n")
        self.expect_fault(self.check(), "/usr/bin/clang-tidy: used by cmake")

    def test_a_tool_that_is_run_is_named(self) -> None:
        build = CALM_BUILD.replace("target &&", "target -G Ninja &&")
        self.expect_fault(self.check(build), "/usr/bin/ninja", "ninja-build")

    def test_a_library_linked_by_bare_name_is_named(self) -> None:
        lists = CALM_LISTS.replace("fmt::fmt)", "fmt::fmt sodium)")
        self.write("CMakeLists.txt", lists)
        self.expect_fault(self.check(), "libsodium.so", "libsodium-dev")

    def test_a_header_of_no_package_is_named(self) -> None:
        with tempfile.TemporaryDirectory() as elsewhere:
            Path(elsewhere).chmod(0o755)
            (Path(elsewhere) / "stray.hpp").write_text("\n")
            self.write("main.cpp", f'#include "{elsewhere}/stray.hpp"\n{CALM_MAIN}')
            self.expect_fault(self.check(), "stray.hpp", "no package")

    def test_a_link_of_no_package_to_a_file_of_one_is_named(self) -> None:
        with tempfile.TemporaryDirectory() as elsewhere:
            Path(elsewhere).chmod(0o755)
            stray = Path(elsewhere) / "stray.hpp"
            stray.symlink_to("/usr/include/fmt/core.h")
            self.write("main.cpp", f'#include "{stray}"\n{CALM_MAIN}')
            self.expect_fault(self.check(), "stray.hpp")

    def test_a_socket_for_the_internet_is_a_fault(self) -> None:
        build = f"bash -c ': > /dev/udp/127.0.0.1/9'; {CALM_BUILD}"
        self.expect_fault(self.check(build), "bash: opened a socket")

    def test_output_outside_its_folder_is_a_fault(self) -> None:
        result = self.check(f"{CALM_BUILD} && echo 1 > made.txt")
        self.expect_fault(result, "made.txt: written outside target/")

    def test_a_build_that_needs_a_test_fails(self) -> None:
        self.write("test/main_test.cpp", CALM_MAIN)
        self.write("CMakeLists.txt", CALM_LISTS.replace("main.cpp", "test/main_test.cpp"))
        self.expect_fault(self.check(), "the build command ended with")

    def test_a_build_that_needs_root_fails(self) -> None:
        result = self.check(f"{CALM_BUILD} && echo 1 > /usr/include/made.hpp")
        self.expect_fault(result, "the build command ended with")

    def test_a_build_that_does_not_end_is_ended(self) -> None:
        build = "mkfifo target.fifo; cat target.fifo"
        result = self.check(build, options=["--limit", "1"])
        self.expect_fault(result, "the build took longer than 1 s")

    def test_a_deploy_file_without_a_list_is_refused(self) -> None:
        self.write("deploy/system.toml", 'build = "true"\npackages = "cmake"\n')
        ended = subprocess.run(
            [sys.executable, CHECK, self.project], capture_output=True, text=True,
            check=False,
        )  # fmt: skip
        self.assertEqual(ended.returncode, 2)
        self.assertIn("packages: must be a list of names", ended.stderr)

    def test_a_package_that_nobody_has_is_refused(self) -> None:
        code, output = self.check(packages=["no-such-package-here"])
        self.assertEqual(code, 2)
        self.assertIn("no-such-package-here", output)


if __name__ == "__main__":
    unittest.main()
