"""The exception of the scenario package."""

from __future__ import annotations


class RunError(RuntimeError):
    """A run could not be completed. This is no finding about the gateway."""
