"""JSON5 in, checked structs out. Every error names the file, the line and the field."""

from __future__ import annotations

import re
from pathlib import Path
from typing import TypeVar

import json5
import msgspec

from ternlane.config.field_lines import field_lines

DocumentT = TypeVar("DocumentT")

ROOT_FIELD = "$"
PARSER_MESSAGE = re.compile(r"<string>:(\d+)\s*(.*)", re.S)  # json5 says: <string>:LINE what
FIELD_IN_MESSAGE = re.compile(r" - at `([^`]*)`$")  # msgspec says: what - at `FIELD`
UNKNOWN_FIELD = re.compile(r"unknown field `([^`]*)`")
LAST_PART = re.compile(r"(\.[^.\[]*|\[[^\]]*\])$")  # of a field's path: .name or [0]


class ConfigError(ValueError):
    """A document that can't be used. `where` is "file:line", `field` its path as `$.a.b[0]`; it is empty where the text
    is no JSON5."""

    def __init__(self, where: str, field: str, why: str) -> None:
        super().__init__(f"{where}: {field}: {why}" if field else f"{where}: {why}")
        self.where = where
        self.field = field
        self.why = why


def read_config(path: Path | str, into: type[DocumentT]) -> DocumentT:
    """The JSON5 file as `into`. Raises ConfigError with file, line and field."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(str(path), "", f"can't be read: {error}") from None
    return read_text(text, into, str(path))


def read_text(text: str, into: type[DocumentT], name: str = "<text>") -> DocumentT:
    """Checks a JSON5 text against a struct type. Raises ConfigError."""
    try:
        raw = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise _not_json5(str(error), name) from None
    try:
        return msgspec.convert(raw, into)
    except msgspec.ValidationError as error:
        field, why = _field_and_reason(error)
        raise ConfigError(f"{name}:{_line_of(field, text)}", field, why) from None


def checked(made: DocumentT) -> DocumentT:
    """Settings made as typed objects, put to the checks that a document goes through. Raises ConfigError."""
    try:
        return msgspec.convert(msgspec.to_builtins(made), type(made))
    except msgspec.ValidationError as error:
        raise ConfigError(type(made).__name__, *_field_and_reason(error)) from None


def _not_json5(message: str, name: str) -> ConfigError:
    found = PARSER_MESSAGE.match(message)
    if found is None:
        return ConfigError(name, "", message)
    return ConfigError(f"{name}:{found[1]}", "", found[2])


def _field_and_reason(error: msgspec.ValidationError) -> tuple[str, str]:
    """The path of the field that an error means, and what it says of it."""
    message = str(error)
    place = FIELD_IN_MESSAGE.search(message)
    field = place[1] if place else ROOT_FIELD
    unknown = UNKNOWN_FIELD.search(message)
    if unknown is not None:
        field += f".{unknown[1]}"
    return field, FIELD_IN_MESSAGE.sub("", message)


def _line_of(field: str, text: str) -> int:
    """The line of the field, or of the nearest one around it: a field that is missing has no line of its own."""
    lines = field_lines(text)
    while field not in lines and field != ROOT_FIELD:
        field = LAST_PART.sub("", field) or ROOT_FIELD
    return lines.get(field, 1)
