"""The lender's table in a file that gateways of a machine, or of a shared folder, change under a lock."""

from __future__ import annotations

import fcntl
import os
from contextlib import contextmanager
from pathlib import Path
from typing import Iterator

import msgspec

from ternlane.tenants.quota_leases import QuotaLeases, Table


@contextmanager
def lender_file(path: Path, gateways: int, span_s: float) -> Iterator[QuotaLeases]:
    """The lender while the lock is held; its table is written back whole or not at all. Raises OSError where another
    holds the lock or the table can't be read: the caller lives on by its floor and asks again later."""
    path.parent.mkdir(parents=True, exist_ok=True)
    lock = os.open(path.with_name(path.name + ".lock"), os.O_RDWR | os.O_CREAT, 0o640)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        lender = QuotaLeases(gateways, span_s)
        try:
            lender.table = msgspec.json.decode(path.read_bytes(), type=Table)
        except FileNotFoundError:
            pass
        except (msgspec.DecodeError, OSError) as why:
            raise OSError(f"{path}: {why}") from None
        yield lender
        fresh = path.with_name(path.name + ".new")
        fresh.write_bytes(msgspec.json.encode(lender.table))
        os.replace(fresh, path)
    finally:
        os.close(lock)
