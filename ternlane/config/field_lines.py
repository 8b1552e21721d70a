"""Finds the line on which each field of a JSON5 text begins, for error messages."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

TOKEN = re.compile(r"""//[^\n]*|/\*.*?\*/|"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*'|[{}\[\]:,]|[^\s{}\[\]:,"'/]+""", re.S)
COMMENT = ("//", "/*")
QUOTES = "\"'"


def field_lines(text: str) -> dict[str, int]:
    """Line numbers, from 1, by path (`$.a.b[0]`). The text must be well-formed. For a duplicate field, the line of the
    first is returned."""
    tracker = _PathTracker()
    line = 1
    position = 0
    for match in TOKEN.finditer(text):
        line += text.count("\n", position, match.start())
        position = match.start()
        if not match.group().startswith(COMMENT):
            tracker.add(match.group(), line)
    return tracker.lines


@dataclass
class _Container:
    """An object or array whose end has not been reached."""

    path: str
    is_array: bool
    index: int = 0  # of the next value, if it is an array


@dataclass
class _PathTracker:
    """Tracks the path in the document while its tokens are added one by one."""

    lines: dict[str, int] = field(default_factory=lambda: {"$": 1})
    open: list[_Container] = field(default_factory=list)
    key: str | None = None  # path of the key whose value comes next

    def add(self, token: str, line: int) -> None:
        """Adds the next token, which is on this line."""
        inner = self.open[-1] if self.open else None
        if token in "}]":
            self.open.pop()
            self.key = None
        elif token == ",":
            self.key = None
            if inner is not None:
                inner.index += 1
        elif token == ":":
            return
        elif inner is not None and not inner.is_array and self.key is None:
            self.key = f"{inner.path}.{token.strip(QUOTES)}"
            self.lines.setdefault(self.key, line)
        else:
            self._value(token, line, inner)

    def _value(self, token: str, line: int, inner: _Container | None) -> None:
        path = self.key or ("$" if inner is None else f"{inner.path}[{inner.index}]")
        self.lines.setdefault(path, line)
        if token in "{[":
            self.open.append(_Container(path, is_array=token == "["))
            self.key = None
