"""Errors of resuming a broken stream."""

from __future__ import annotations


class RecoveryError(Exception):
    """A broken stream cannot be resumed. Base class of this package's errors."""


class ReplayMismatchError(RecoveryError):
    """The text of a replayed request differs from the text that the client has received."""
