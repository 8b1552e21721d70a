"""API keys: a public name and a secret. Only a salted hash of the secret is kept.

The secret has 256 bits of chance, so a fast hash does: there is nothing to guess that a slow one would protect. What
must not leak is how far a guess was right: every check hashes once and compares in constant time, also for a name that
nobody has.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets

PREFIX = "tl"
NOBODY = ("00" * 16, "00" * 32)


def digest(secret: str, salt: str) -> str:
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def new_key() -> tuple[str, str, str, str]:
    """The whole key (shown once), its public name, the salt and the hash that are kept."""
    name, secret, salt = secrets.token_hex(6), secrets.token_urlsafe(32), secrets.token_hex(16)
    return f"{PREFIX}-{name}-{secret}", name, salt, digest(secret, salt)


def split_key(key: str) -> tuple[str, str]:
    """Public name and secret; empty ones for what is no key."""
    parts = key.split("-", 2)
    return (parts[1], parts[2]) if len(parts) == 3 and parts[0] == PREFIX else ("", key[:256])


def fits(secret: str, salt: str, kept: str) -> bool:
    return hmac.compare_digest(digest(secret, salt), kept)
