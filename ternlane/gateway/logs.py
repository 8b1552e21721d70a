"""Where lines go that nobody has said a place for: the standard logger "ternlane", as a library should.

Nothing is configured and no handler is made; the standard library shows warnings on standard error and nothing less.
"""

from __future__ import annotations

import logging
from typing import Any

import structlog


def library_log() -> Any:
    """A log to the standard logger, filtered by that logger's level."""
    return structlog.wrap_logger(
        logging.getLogger("ternlane"),
        wrapper_class=structlog.stdlib.BoundLogger,
        processors=[structlog.stdlib.filter_by_level, structlog.processors.KeyValueRenderer(key_order=["event"])],
    )
