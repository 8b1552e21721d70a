"""A pytest plugin: tests that KNOWN-RED.txt names may fail, and only these; what it lists is printed with each run.

A line is `test | cause | issue`, the test by its node id. More than three lines, a line of another form, or a test that
is not there fail the run.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

import pytest

FILE, MOST = "KNOWN-RED.txt", 3


class Red(NamedTuple):
    test: str
    cause: str
    issue: str


def listed(text: str) -> list[Red]:
    """Raises ValueError for what is no such list."""
    reds = []
    for line in filter(str.strip, text.splitlines()):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"{FILE}: a line is `test | cause | issue`, not {line!r}")
        reds.append(Red(*parts))
    if len(reds) > MOST or len({red.test for red in reds}) < len(reds):
        raise ValueError(f"{FILE}: {len(reds)} lines, where {MOST} different tests are the most")
    return reds


def pytest_collection_modifyitems(config: pytest.Config, items: list[Any]) -> None:
    path = Path(config.rootpath) / FILE
    if not path.exists():
        return
    try:
        reds = listed(path.read_text())
    except ValueError as why:
        raise pytest.UsageError(str(why)) from None
    files = {item.nodeid.partition("::")[0] for item in items}
    for red in reds:
        named = [item for item in items if item.nodeid == red.test]
        file = red.test.partition("::")[0]
        if not named and (file in files or not (Path(config.rootpath) / file).exists()):
            raise pytest.UsageError(f"{FILE}: there is no test {red.test}")
        for item in named:
            item.add_marker(pytest.mark.xfail(reason=f"known red: {red.cause}", strict=False))
    config.stash[KEY] = reds


KEY = pytest.StashKey[list[Red]]()


def pytest_terminal_summary(terminalreporter: Any, config: pytest.Config) -> None:
    for red in config.stash.get(KEY, []):
        terminalreporter.write_line(f"KNOWN RED: {red.test}: {red.cause} (issue {red.issue})")
