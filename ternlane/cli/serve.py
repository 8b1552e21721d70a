"""`ternlane serve`: runs a gateway."""

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
@click.option("--chooser", default="", hidden=True, help="module:name of a baseline router to run instead")
@click.option("--pid-file", help="file that contains the process id while the gateway runs")
def serve(file: str, level: str, chooser: str, pid_file: str | None) -> None:
    """Runs a gateway with the configuration FILE. SIGTERM drains and stops it; SIGHUP reloads FILE."""
    from ternlane.gateway.daemon import run_gateway
    from ternlane.ledger import CorruptLedgerError

    log_to_stderr(level)
    router_type = import_object(chooser) if chooser else None
    try:
        trio.run(partial(run_gateway, file, load_document(file, GatewayConfig), router_type, pid_file))
    except* OSError as group:
        fail(group.exceptions[0], ExitCode.UNAVAILABLE)
    except* (CorruptLedgerError, ConfigError) as group:
        fail(group.exceptions[0], ExitCode.DATA)


def import_object(path: str) -> Callable[..., Any]:
    """Imports the object named by `module:name`. Raises ImportError, AttributeError."""
    module, _, name = path.partition(":")
    imported: Callable[..., Any] = getattr(importlib.import_module(module), name)
    return imported


def log_to_stderr(level: str) -> None:
    """Configures logging: JSON lines on standard error, from this level up."""
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
