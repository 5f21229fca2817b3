"""Create secrets and their digests."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable

SECRET_BYTES = 32
KEY_ID_BYTES = 8


def create_secret() -> str:
    """Return a new random secret of 256 bits in URL-safe characters."""
    return secrets.token_urlsafe(SECRET_BYTES)


def create_key_id(name: str) -> str:
    """Return a key id that starts with the name and is never used twice."""
    return f"{name}-{secrets.token_hex(KEY_ID_BYTES)}"


def compute_digest(secret: str) -> str:
    """Return the SHA-256 of a secret in hexadecimal digits.

    A secret is random and as long as its digest, so no slow hash is needed.

    >>> len(compute_digest("example"))
    64
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def matches_any_digest(secret: str, digests: Iterable[str]) -> bool:
    """Return whether the secret's digest is among those, in the same time for each of them."""
    own = compute_digest(secret)
    return any([hmac.compare_digest(own, digest) for digest in digests])
