"""Create secrets and key ids, and compute and compare digests."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable

SECRET_BYTES = 32
KEY_ID_BYTES = 8


def create_secret() -> str:
    """Return a random secret of 256 bits in URL-safe characters."""
    return secrets.token_urlsafe(SECRET_BYTES)


def create_key_id(name: str) -> str:
    """Return a key id that starts with the name and has a random suffix, so that it is unique."""
    return f"{name}-{secrets.token_hex(KEY_ID_BYTES)}"


def compute_digest(secret: str) -> str:
    """Return the SHA-256 digest of a secret in hexadecimal digits.

    A secret is random and as long as its digest, so no slow password hash is needed.

    >>> len(compute_digest("example"))
    64
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def matches_any_digest(secret: str, digests: Iterable[str]) -> bool:
    """Return whether one of the digests is the secret's, comparing all in constant time."""
    own = compute_digest(secret)
    return any([hmac.compare_digest(own, digest) for digest in digests])
