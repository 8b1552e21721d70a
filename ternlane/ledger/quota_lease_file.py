"""The table of quota leases in a file, which gateways of one machine or a shared folder change under a lock."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from ternlane.ledger.disk import FILE_MODE
from ternlane.ledger.errors import QuotaLeaseFileError
from ternlane.tenants.quota_leases import LeaseTable, QuotaLeases


@contextmanager
def open_quota_leases(path: Path, gateways: int, interval_s: float) -> Iterator[QuotaLeases]:
    """Gives access to the leases while it holds the lock. The table is replaced atomically at the end; if the block
    raises, it stays unchanged.

    `gateways` share the budgets, and each of them requests tokens every `interval_s` seconds. Raises OSError if another
    process holds the lock, QuotaLeaseFileError (an OSError) if the table is malformed: the caller then uses the part of
    the budget that is always its own, and tries again later."""
    path.parent.mkdir(parents=True, exist_ok=True)
    lock = os.open(path.with_name(path.name + ".lock"), os.O_RDWR | os.O_CREAT, FILE_MODE)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        leases = QuotaLeases(gateways, interval_s, _read_table(path))
        yield leases
        temporary = path.with_name(path.name + ".new")
        temporary.write_bytes(msgspec.json.encode(leases.table))
        os.replace(temporary, path)
    finally:
        os.close(lock)


def _read_table(path: Path) -> LeaseTable:
    try:
        return msgspec.json.decode(path.read_bytes(), type=LeaseTable)
    except FileNotFoundError:
        return LeaseTable()
    except (msgspec.DecodeError, OSError) as error:
        raise QuotaLeaseFileError(f"{path}: {error}") from None
