"""Errors in the files of ledgers."""

from __future__ import annotations


class LedgerError(Exception):
    """Base class of this package's errors. Errors of the file system are raised as OSError."""


class CorruptLedgerError(LedgerError):
    """A ledger is in a state that no crash can cause, and must be restored. The message names the file and the byte."""


class QuotaLeaseFileError(LedgerError, OSError):
    """The file of quota leases is malformed. An OSError, as callers treat it like an unreachable file."""
