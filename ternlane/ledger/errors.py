"""What can be wrong with files that a gateway keeps."""

from __future__ import annotations


class LedgerError(Exception):
    """The base of this package's own errors. What the file system refuses stays an OSError."""


class CorruptLedgerError(LedgerError):
    """A ledger in a state that no crash leaves. The message names the file and the byte; it must be restored."""


class QuotaLeaseFileError(LedgerError, OSError):
    """The file of quota leases can't be read. An OSError, as callers treat it like a file that can't be reached."""
