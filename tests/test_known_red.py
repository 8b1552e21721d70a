"""What may fail is what KNOWN-RED.txt names, and nothing else.

A list of tests that may fail must not grow unseen, nor let a test pass that was renamed or never had a cause.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
def test_red(): assert False
def test_green(): assert True
def test_other(): assert {other}
"""


def run(folder: Path, red: str | None, *named: str, other: bool = True) -> tuple[int, str]:
    (folder / "test_it.py").write_text(TESTS.format(other=other))
    (folder / "pytest.ini").write_text("[pytest]\n")
    if red is not None:
        (folder / "KNOWN-RED.txt").write_text(red)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "tests.known_red", "-p", "no:cacheprovider", *named],
        cwd=folder,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
    )
    return done.returncode, done.stdout + done.stderr


def entry(test: str, command: str = "pytest test_it.py, seed 7", seen: str = "the clock steps") -> str:
    return f"{test} | {command} | {seen} | 25\n"


def test_just_the_listed_may_fail_and_are_printed(tmp_path: Path) -> None:
    line = entry("test_it.py::test_red")
    code, said = run(tmp_path, line)
    printed = "KNOWN RED: test_it.py::test_red: the clock steps (issue 25; pytest test_it.py, seed 7)"
    assert code == 0 and printed in said
    assert run(tmp_path, line, other=False)[0] == 1
    assert run(tmp_path, entry("test_it.py::test_other"))[0] == 1  # the red one is not listed
    assert run(tmp_path, "")[0] == 1


@pytest.mark.parametrize(
    "red, why",
    [
        (entry("test_it.py::test_gone"), "there is no test"),
        (entry("test_gone.py::test_red"), "there is no test"),
        ("test_it.py::test_red\n", "a line is"),
        ("test_it.py::test_red | the clock steps | 25\n", "a line is"),  # three parts, as entries had before
        (entry("test_it.py::test_red").rstrip("\n") + " | more\n", "a line is"),
        (entry("test_it.py"), "a line is"),
        (entry(""), "a line is"),
        (entry("test_it.py::test_red", command=""), "a line is"),
        (entry("test_it.py::test_red", seen=""), "a line is"),
        ("test_it.py::test_red | pytest test_it.py | the clock steps |\n", "a line is"),
        ("".join(entry(f"test_it.py::test_{name}") for name in ("red", "green", "other", "more")), "the most"),
        (entry("test_it.py::test_red") * 2, "the most"),
    ],
)
def test_a_list_that_can_not_be_right_fails_the_run(tmp_path: Path, red: str, why: str) -> None:
    code, said = run(tmp_path, red)
    assert code not in (0, 1) and why in said


def test_an_entrys_own_command_runs_where_another_test_of_its_file_is_listed_too(tmp_path: Path) -> None:
    """Two tests of one file were listed, and the command of each ended with "there is no test" for the other."""
    both = entry("test_it.py::test_red") + entry("test_it.py::test_other")
    assert run(tmp_path, both, "test_it.py::test_red")[0] == 0
    assert run(tmp_path, both, "test_it.py::test_green")[0] == 0
    code, said = run(tmp_path, both + entry("test_gone.py::test_red"), "test_it.py::test_red")
    assert code not in (0, 1) and "there is no test" in said
