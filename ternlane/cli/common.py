"""What the commands share: exit codes, errors that end the program, reading documents."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import NoReturn, TypeVar

import click

from ternlane.config import ConfigError, read_config

DocumentT = TypeVar("DocumentT")


class ExitCode(IntEnum):
    """How a command ended, as sysexits names it; click itself ends with 2 for wrong arguments."""

    OK = 0
    BROKEN = 1  # what was checked does not hold
    DATA = 65  # a wrong document or file
    UNAVAILABLE = 69  # it can't run here
    TEMPORARY = 75  # not measured: the machine was too slow
    TERMINATED = 143  # by SIGTERM


def fail(why: object, code: ExitCode) -> NoReturn:
    """Ends the program with one line on standard error."""
    click.echo(f"ternlane: {why}", err=True)
    sys.exit(code)


def load_document(path: str, into: type[DocumentT]) -> DocumentT:
    """Reads a document; a wrong one ends the program with the place and the field."""
    try:
        return read_config(path, into)
    except ConfigError as error:
        fail(error, ExitCode.DATA)
