"""Errors of resuming a broken stream."""

from __future__ import annotations


class RecoveryError(Exception):
    """A broken stream cannot be resumed. Base class of this package's errors."""


class ReplayMismatchError(RecoveryError):
    """A replayed request produced a text other than the one that the client has received."""
