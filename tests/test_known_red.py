"""What may fail is what KNOWN-RED.txt names, and nothing else."""

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


def run(folder: Path, red: str | None, other: bool = True) -> tuple[int, str]:
    (folder / "test_it.py").write_text(TESTS.format(other=other))
    (folder / "pytest.ini").write_text("[pytest]\n")
    if red is not None:
        (folder / "KNOWN-RED.txt").write_text(red)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "tests.known_red", "-p", "no:cacheprovider"],
        cwd=folder,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
    )
    return done.returncode, done.stdout + done.stderr


def test_just_the_listed_may_fail_and_are_printed(tmp_path: Path) -> None:
    line = "test_it.py::test_red | the clock steps | 25\n"
    code, said = run(tmp_path, line)
    assert code == 0 and "KNOWN RED: test_it.py::test_red: the clock steps (issue 25)" in said
    assert run(tmp_path, line, other=False)[0] == 1
    assert run(tmp_path, "test_it.py::test_other | swings | 25\n")[0] == 1  # the red one is not listed
    assert run(tmp_path, "")[0] == 1


@pytest.mark.parametrize(
    "red, why",
    [
        ("test_it.py::test_gone | renamed | 25\n", "there is no test"),
        ("test_gone.py::test_red | renamed | 25\n", "there is no test"),
        ("test_it.py::test_red\n", "a line is"),
        ("test_it.py | all of it | 25\n", "a line is"),
        ("test_it.py::test_red | | 25\n", "a line is"),
        ("".join(f"test_it.py::test_{n} | c | 25\n" for n in ("red", "green", "other", "more")), "the most"),
        ("test_it.py::test_red | c | 25\n" * 2, "the most"),
    ],
)
def test_a_list_that_can_not_be_right_fails_the_run(tmp_path: Path, red: str, why: str) -> None:
    code, said = run(tmp_path, red)
    assert code not in (0, 1) and why in said
