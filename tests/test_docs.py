"""The paths in the main documents exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = [
    "README.md",
    "docs/architecture.md",
    "docs/glossary.md",
    "docs/on-call.md",
    "docs/design.md",
    "docs/platform.md",
]
# Paths in backticks, relative to the repository or to ternlane/.
PATH = re.compile(r"`((?:[\w.-]+/)+[\w.-]*|[\w-]+\.py)`")
# Not paths, although they match the pattern.
NOT_PATHS = {"application/json", "limits/sockets"}


def exists(path: str) -> bool:
    """Whether a path exists relative to the root or to ternlane/, or as a file name anywhere below ternlane/."""
    if (ROOT / path).exists() or (ROOT / "ternlane" / path).exists():
        return True
    return "/" not in path and any((ROOT / "ternlane").rglob(path))


@pytest.mark.parametrize("page", PAGES)
def test_paths_in_documents_exist(page: str) -> None:
    named = set(PATH.findall((ROOT / page).read_text())) - NOT_PATHS
    assert named, "no path found: the pattern no longer fits the page"
    assert sorted(path for path in named if not exists(path)) == []
