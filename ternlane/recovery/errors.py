"""What can go wrong where a broken stream is resumed."""

from __future__ import annotations


class RecoveryError(Exception):
    """A broken stream cannot be resumed. Base of all errors of this package."""


class ReplayMismatchError(RecoveryError):
    """A replayed request gave another text than the client has."""
