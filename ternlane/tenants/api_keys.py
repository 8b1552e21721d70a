"""API keys, which consist of a public name and a secret. Only a salted hash of the secret is stored.

The secret has 256 random bits and cannot be found by brute force, so that a fast hash suffices. Timing must not reveal
which part of a key is wrong: every check computes one hash and compares in constant time, even if the name is unknown.
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
MAX_UNPARSED_CHARS = 256  # of a malformed key, which is hashed as well: bounds the time
# Compared with the secret if the name is unknown, so that the check takes as long as for a known name.
UNKNOWN_KEY_SALT = "00" * SALT_BYTES
UNKNOWN_KEY_HASH = "00" * hashlib.sha256().digest_size


class NewApiKey(NamedTuple):
    """A newly generated key. Only its name, salt and hash may be stored."""

    key: str  # name and secret, shown to the owner once
    name: str
    salt: str
    secret_hash: str


def hash_secret(secret: str, salt: str) -> str:
    """SHA-256 of salt and secret; hash and salt are hexadecimal. Raises ValueError for a malformed salt."""
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def new_key() -> NewApiKey:
    """Generates a key with the system's random number generator."""
    name = secrets.token_hex(NAME_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    return NewApiKey(f"{KEY_PREFIX}-{name}-{secret}", name, salt, hash_secret(secret, salt))


def split_key(key: str) -> tuple[str, str]:
    """Public name and secret. For a malformed key the name is empty, which no key has."""
    parts = key.split("-", 2)
    if len(parts) == 3 and parts[0] == KEY_PREFIX:
        return parts[1], parts[2]
    return "", key[:MAX_UNPARSED_CHARS]


def secret_matches(secret: str, salt: str, secret_hash: str) -> bool:
    """Whether the secret has this hash. Compares in constant time."""
    return hmac.compare_digest(hash_secret(secret, salt), secret_hash)
