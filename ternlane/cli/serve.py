"""`ternlane serve`: one gateway."""

from __future__ import annotations

import importlib
import logging
import sys
from collections.abc import Callable
from functools import partial
from typing import Any

import click
import structlog
import trio

from ternlane.cli.common import ExitCode, fail, load_document
from ternlane.config import ConfigError, GatewayConfig
from ternlane.log_output import log_file


@click.command()
@click.argument("file")
@click.option("--log", "level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
@click.option("--chooser", default="", hidden=True, help="module:name of a baseline to measure against")
@click.option("--pid-file", help="file that holds the process id while it serves")
def serve(file: str, level: str, chooser: str, pid_file: str | None) -> None:
    """Runs one gateway by the document FILE until SIGTERM, which drains it; SIGHUP reads FILE again."""
    from ternlane.gateway.daemon import run_gateway
    from ternlane.ledger import CorruptLedgerError

    log_to_stderr(level)
    choose = named_object(chooser) if chooser else None
    try:
        trio.run(partial(run_gateway, file, load_document(file, GatewayConfig), choose, pid_file))
    except* OSError as group:
        fail(group.exceptions[0], ExitCode.UNAVAILABLE)
    except* (CorruptLedgerError, ConfigError) as group:
        fail(group.exceptions[0], ExitCode.DATA)


def named_object(path: str) -> Callable[..., Any]:
    """What `module:name` means. Raises ImportError, AttributeError."""
    module, _, name = path.partition(":")
    found: Callable[..., Any] = getattr(importlib.import_module(module), name)
    return found


def log_to_stderr(level: str) -> None:
    """Writes log lines of this level and above to standard error, as JSON."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.WriteLoggerFactory(file=log_file(sys.stderr)),
        cache_logger_on_first_use=True,
    )
