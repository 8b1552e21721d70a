"""The process of one platform gateway: logging, signals and exit status."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
from collections.abc import AsyncIterator
from functools import partial
from typing import Any

import structlog
import trio

from ternlane.log_output import log_file
from ternlane.platform.end_signal import EndSignal
from ternlane.platform.errors import ConfigurationError
from ternlane.platform.gateway import Gateway
from ternlane.platform.settings import GatewayConfiguration, read_configuration

# Exit statuses of sysexits.h: EX_DATAERR for an invalid configuration, EX_UNAVAILABLE if serving fails with an
# OSError, mostly because the address is in use.
EXIT_BAD_CONFIGURATION = 65
EXIT_ADDRESS_UNAVAILABLE = 69


async def run(configuration: GatewayConfiguration, log: Any, end_signal_times_s: list[float]) -> None:
    """Serves until a termination signal arrives, and then drains. `end_signal_times_s`: see `main`."""
    end = EndSignal(end_signal_times_s)
    with trio.open_signal_receiver(signal.SIGHUP, signal.SIGUSR1) as signals:
        async with trio.open_nursery() as nursery:
            gateway = Gateway(configuration, nursery, log)
            await gateway.start()
            gc.collect()
            gc.freeze()  # imported modules stay, so the collector need not traverse them again
            nursery.start_soon(handle_signals, gateway, signals)
            await end.received.wait()
            await gateway.drain(end.since_ms())
            log.info("ended", received=gateway.runtime.reporter.counts["received"])
            nursery.cancel_scope.cancel()


async def handle_signals(gateway: Gateway, signals: AsyncIterator[int]) -> None:
    """SIGHUP reloads the configuration unless the gateway drains; SIGUSR1 logs the request histories at any time."""
    async for number in signals:
        if number == signal.SIGUSR1:
            gateway.log_histories()
        elif not gateway.chat_server.draining:
            gateway.reload()


def configure_logging() -> None:
    """Logs JSON lines to standard error; TERNLANE_LOG=debug adds a line for each attempt, release and
    finished request."""
    level = logging.DEBUG if os.environ.get("TERNLANE_LOG") == "debug" else logging.INFO
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(level),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=log_file(sys.stderr)),
        cache_logger_on_first_use=True,
    )


def main(end_signal_times_s: list[float]) -> int:
    """Runs one gateway; returns the exit status.

    `end_signal_times_s`: when termination signals arrived during the imports (s, monotonic clock).
    """
    configure_logging()
    try:
        configuration = read_configuration()
    except ConfigurationError as error:
        print(f"ternlane: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    status = 0
    try:
        trio.run(partial(run, configuration, structlog.get_logger(gateway=configuration.name), end_signal_times_s))
    except* OSError as group:
        print(f"ternlane: {group.exceptions[0]}", file=sys.stderr)
        status = EXIT_ADDRESS_UNAVAILABLE
    return status
