"""Authenticate client accounts by their keys, and withdraw keys."""

from turmericproxy.keys.controller import CreatedKey, Identity, KeyController, Withdrawn
from turmericproxy.keys.secrets import compute_digest, create_secret

__all__ = [
    "CreatedKey",
    "Identity",
    "KeyController",
    "Withdrawn",
    "compute_digest",
    "create_secret",
]
