"""The error of the scenario package."""

from __future__ import annotations


class RunError(RuntimeError):
    """A run could not be played to its end; says nothing of the gateway."""
