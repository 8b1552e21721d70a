"""Reads JSON5 documents into validated structs. Errors name the file, the line and the field."""

from __future__ import annotations

import re
from pathlib import Path
from typing import TypeVar

import json5
import msgspec

from ternlane.config.field_lines import field_lines

DocumentT = TypeVar("DocumentT")

ROOT_FIELD = "$"
PARSER_MESSAGE = re.compile(r"<string>:(\d+)\s*(.*)", re.S)  # json5: <string>:LINE message
FIELD_IN_MESSAGE = re.compile(r" - at `([^`]*)`$")  # msgspec: message - at `FIELD`
UNKNOWN_FIELD = re.compile(r"unknown field `([^`]*)`")
LAST_PART = re.compile(r"(\.[^.\[]*|\[[^\]]*\])$")  # of a path: .name or [0]


class ConfigError(ValueError):
    """A document is invalid. `where` is "file:line", or only the file, or the name of the type if there is no file.
    `field` is the path of the field, as `$.a.b[0]`, or empty if the file can't be read or is not valid JSON5."""

    def __init__(self, where: str, field: str, why: str) -> None:
        super().__init__(f"{where}: {field}: {why}" if field else f"{where}: {why}")
        self.where = where
        self.field = field
        self.why = why


def read_config(path: Path | str, into: type[DocumentT]) -> DocumentT:
    """Reads a JSON5 file into a struct of the type `into`. Raises ConfigError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(str(path), "", f"can't be read: {error}") from None
    return read_text(text, into, str(path))


def read_text(text: str, into: type[DocumentT], name: str = "<text>") -> DocumentT:
    """Reads a JSON5 text into a struct of the type `into`; `name` stands for the file in errors. Raises
    ConfigError."""
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
    """Validates a struct that was constructed in code as if it had been read from a document. Raises ConfigError."""
    try:
        return msgspec.convert(msgspec.to_builtins(made), type(made))
    except msgspec.ValidationError as error:
        raise ConfigError(type(made).__name__, *_field_and_reason(error)) from None


def _not_json5(message: str, name: str) -> ConfigError:
    match = PARSER_MESSAGE.match(message)
    if match is None:
        return ConfigError(name, "", message)
    return ConfigError(f"{name}:{match[1]}", "", match[2])


def _field_and_reason(error: msgspec.ValidationError) -> tuple[str, str]:
    """The path of the invalid field, and the reason."""
    message = str(error)
    path_match = FIELD_IN_MESSAGE.search(message)
    field = path_match[1] if path_match else ROOT_FIELD
    unknown_field = UNKNOWN_FIELD.search(message)
    if unknown_field is not None:
        field += f".{unknown_field[1]}"
    return field, FIELD_IN_MESSAGE.sub("", message)


def _line_of(field: str, text: str) -> int:
    """The line of the field. If the document does not contain the field, the line of the innermost enclosing field that
    it contains; 1 if there is none."""
    lines = field_lines(text)
    while field not in lines and field != ROOT_FIELD:
        field = LAST_PART.sub("", field) or ROOT_FIELD
    return lines.get(field, 1)
