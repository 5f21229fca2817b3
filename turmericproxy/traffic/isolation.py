"""Separate the cached prompt parts of isolated client accounts from those of all others."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from turmericproxy.core import AccountName
from turmericproxy.traffic.site import Account

DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class CacheIsolation:
    """The isolated accounts of a configuration, and the key of what the others share.

    The shared key depends on the set of isolated accounts alone: what an account cached before it
    was isolated stays under an earlier key, and all hosts with the same configuration agree.
    """

    accounts: frozenset[AccountName] = frozenset()
    shared_key: str = ""

    def find_key(self, account: Account | None) -> str:
        """Return the key that separates the cached parts of an account, ``None`` for no account.

        An account stays separate if it was isolated when its request arrived.
        """
        if account and (account.is_isolated or account.name in self.accounts):
            return f"account-{account.name}"
        return self.shared_key


NO_ISOLATION = CacheIsolation()


def create_isolation(accounts: Iterable[Account]) -> CacheIsolation:
    """Return the isolation that the accounts of a configuration ask for."""
    isolated = frozenset(account.name for account in accounts if account.is_isolated)
    if not isolated:
        return NO_ISOLATION
    digest = blake2b(repr(sorted(isolated)).encode(), digest_size=DIGEST_BYTES).hexdigest()
    return CacheIsolation(isolated, f"shared-{digest}")
