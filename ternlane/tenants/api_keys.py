"""API keys: a public name and a secret. Only a salted hash of the secret is stored.

The secret has 256 random bits, so a fast hash is enough: nothing can be guessed that a slow one would protect. How far
a guess was right must not leak: every check hashes once and compares in constant time, also for an unknown name.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import NamedTuple

KEY_PREFIX = "tl"
NAME_BYTES = 6
SALT_BYTES = 16
SECRET_BYTES = 32
MAX_UNPARSED_CHARS = 256  # of what is no key: it is hashed all the same, in bounded time
# What the secret is compared with where the name is unknown, so that the time taken does not tell.
UNKNOWN_KEY_SALT = "00" * SALT_BYTES
UNKNOWN_KEY_HASH = "00" * hashlib.sha256().digest_size


class NewApiKey(NamedTuple):
    """A key that was just made. Only name, salt and hash may be stored."""

    key: str  # the whole key, shown to its owner once
    name: str
    salt: str
    secret_hash: str


def hash_secret(secret: str, salt: str) -> str:
    """SHA-256 of salt and secret, in hexadecimal; so is the salt. Raises ValueError for a salt that is not."""
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def new_key() -> NewApiKey:
    """A key by the system's random numbers."""
    name = secrets.token_hex(NAME_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    return NewApiKey(f"{KEY_PREFIX}-{name}-{secret}", name, salt, hash_secret(secret, salt))


def split_key(key: str) -> tuple[str, str]:
    """Public name and secret. What has not the form of a key has the empty name, which nobody has."""
    parts = key.split("-", 2)
    if len(parts) == 3 and parts[0] == KEY_PREFIX:
        return parts[1], parts[2]
    return "", key[:MAX_UNPARSED_CHARS]


def secret_matches(secret: str, salt: str, secret_hash: str) -> bool:
    """Whether the secret is the one that was hashed; takes as long for a wrong one."""
    return hmac.compare_digest(hash_secret(secret, salt), secret_hash)
