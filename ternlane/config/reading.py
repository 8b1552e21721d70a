"""JSON5 in, checked structs out. Every error names the file, the line and the field."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, TypeVar

import json5
import msgspec

T = TypeVar("T")
TOKEN = re.compile(r"""//[^\n]*|/\*.*?\*/|"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*'|[{}\[\]:,]|[^\s{}\[\]:,"'/]+""", re.S)
AT = re.compile(r" - at `([^`]*)`$")
UNKNOWN = re.compile(r"unknown field `([^`]*)`")


class ConfigError(ValueError):
    """A document that can't be used. `where` is "file:line", `field` its path as `$.a.b[0]`."""

    def __init__(self, where: str, field: str, why: str) -> None:
        super().__init__(f"{where}: {field}: {why}" if field else f"{where}: {why}")
        self.where, self.field, self.why = where, field, why


def lines_by_field(text: str) -> dict[str, int]:
    """The line on which each field of a well-formed JSON5 text begins."""
    lines, path = {"$": 1}, ["$"]
    stack: list[list[Any]] = []  # [path, "{" or "[", next index, key seen]
    pending: str | None = None
    at_line, last = 1, 0
    for found in TOKEN.finditer(text):
        at_line += text.count("\n", last, found.start())
        last, tok = found.start(), found.group()
        if tok.startswith(("//", "/*")):
            continue
        top = stack[-1] if stack else None
        if tok in "}]":
            stack.pop()
            pending = None
        elif tok == ",":
            pending = None
            if top and top[1] == "[":
                top[2] += 1
        elif tok == ":":
            continue
        elif top and top[1] == "{" and pending is None:
            pending = f"{top[0]}.{tok.strip(chr(34) + chr(39))}"
            lines.setdefault(pending, at_line)
        else:
            here = pending or (f"{top[0]}[{top[2]}]" if top else path[0])
            lines.setdefault(here, at_line)
            if tok in "{[":
                stack.append([here, tok, 0])
                pending = None
    return lines


def read_text(text: str, into: type[T], name: str = "<text>") -> T:
    """Checks a JSON5 text against a struct type. Raises PaperError."""
    try:
        raw = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as why:
        said = str(why)
        line = re.match(r"<string>:(\d+)\s*(.*)", said, re.S)
        raise ConfigError(f"{name}:{line[1]}" if line else name, "", line[2] if line else said) from None
    try:
        return msgspec.convert(raw, into)
    except msgspec.ValidationError as why:
        field, said = field_of(why)
        lines = lines_by_field(text)
        near = field
        while near not in lines and near != "$":
            near = re.sub(r"(\.[^.\[]*|\[[^\]]*\])$", "", near) or "$"
        raise ConfigError(f"{name}:{lines.get(near, 1)}", field, said) from None


def field_of(why: msgspec.ValidationError) -> tuple[str, str]:
    """Which field a refusal means, and what it says of it."""
    said = str(why)
    at, unknown = AT.search(said), UNKNOWN.search(said)
    field = at[1] if at else "$"
    return field + (f".{unknown[1]}" if unknown else ""), AT.sub("", said)


def checked(made: T) -> T:
    """Settings made as typed objects, put to the checks that a document goes through. Raises PaperError."""
    try:
        return msgspec.convert(msgspec.to_builtins(made), type(made))
    except msgspec.ValidationError as why:
        raise ConfigError(type(made).__name__, *field_of(why)) from None


def read_config(path: Path | str, into: type[T]) -> T:
    """The JSON5 file as `into`. Raises PaperError with file, line and field."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as why:
        raise ConfigError(str(path), "", f"can't be read: {why}") from None
    return read_text(text, into, str(path))
