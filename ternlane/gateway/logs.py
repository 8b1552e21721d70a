"""The default log when the caller passes none: the standard logger "ternlane", as is usual for a library.

No handler is installed and nothing is configured, so the standard library prints warnings and errors to stderr.
"""

from __future__ import annotations

import logging
from typing import Any

import structlog


def library_log() -> Any:
    """A structlog logger that writes to the standard logger, filtered by that logger's level."""
    return structlog.wrap_logger(
        logging.getLogger("ternlane"),
        wrapper_class=structlog.stdlib.BoundLogger,
        processors=[structlog.stdlib.filter_by_level, structlog.processors.KeyValueRenderer(key_order=["event"])],
    )
