"""Common parts of the commands: exit codes, fatal errors and reading of configuration documents."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import NoReturn, TypeVar

import click

from ternlane.config import ConfigError, read_config

DocumentT = TypeVar("DocumentT")


class ExitCode(IntEnum):
    """Exit codes, with the values of sysexits.h if it has a matching one.

    In addition, click exits with 2 for invalid arguments.
    """

    OK = 0
    CHECK_FAILED = 1  # the check ran and found violations
    DATA = 65  # an invalid document or file
    UNAVAILABLE = 69  # a required resource is unavailable, for example an address is in use
    TEMPORARY = 75  # the machine was too slow for a valid measurement
    TERMINATED = 143  # ended by SIGTERM


def fail(reason: object, code: ExitCode) -> NoReturn:
    """Prints one line to standard error and exits."""
    click.echo(f"ternlane: {reason}", err=True)
    sys.exit(code)


def load_document(path: str, into: type[DocumentT]) -> DocumentT:
    """Reads a document. If it is invalid, prints the line and the field, and exits."""
    try:
        return read_config(path, into)
    except ConfigError as error:
        fail(error, ExitCode.DATA)
