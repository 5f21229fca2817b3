"""Check which accounts share cached prompt parts before and after an account is isolated."""

import pytest

from turmericproxy.core import AccountName
from turmericproxy.traffic.isolation import NO_ISOLATION, create_isolation
from turmericproxy.traffic.site import Account


def create_account(name: str, *, is_isolated: bool = False) -> Account:
    return Account(AccountName(name), (), None, True, 0, is_isolated, 0.0, 0.0)


def create_accounts(isolated: str, names: str = "abc") -> list[Account]:
    return [create_account(name, is_isolated=name in isolated) for name in names]


# Guards against the review case WALL: accounts that aren't isolated went on using the parts that
# another one had cached before it was isolated, since their salt stayed the same.
@pytest.mark.parametrize(
    ("before", "after"), [("", "a"), ("a", ""), ("a", "b"), ("a", "ab"), ("ab", "b")]
)
def test_shared_key_changes_with_the_isolated_accounts(before: str, after: str) -> None:
    others = [create_account("c"), None]
    for account in others:
        keys = [create_isolation(create_accounts(s)).find_key(account) for s in (before, after)]
        assert keys[0] != keys[1]


def test_isolated_accounts_share_no_key() -> None:
    isolation = create_isolation(create_accounts("ab"))
    keys = {isolation.find_key(create_account(name)) for name in "abc"}
    assert len(keys) == 3


def test_key_is_the_same_on_every_host_and_for_other_changes() -> None:
    accounts = create_accounts("ab")
    changed = [*reversed(accounts), create_account("new")]
    assert create_isolation(accounts) == create_isolation(changed)
    assert create_isolation(create_accounts("")) == NO_ISOLATION


def test_names_of_accounts_do_not_collide() -> None:
    joined = create_isolation([create_account("a', 'b", is_isolated=True)])
    assert joined.shared_key != create_isolation(create_accounts("ab")).shared_key
    shared_key = create_isolation(create_accounts("a")).shared_key
    imitator = create_account(shared_key, is_isolated=True)
    assert create_isolation([imitator]).find_key(imitator) != shared_key


def test_account_stays_separate_for_requests_from_before_it_was_shared_again() -> None:
    isolated = create_account("a", is_isolated=True)
    assert NO_ISOLATION.find_key(isolated) == create_isolation([isolated]).find_key(isolated)
