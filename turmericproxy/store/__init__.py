"""Follow tables of the store on the event loop, and reconnect after its outages."""

from turmericproxy.store.eras import StoreEras
from turmericproxy.store.following import TableFollower
from turmericproxy.store.interfaces import ChangedRow, Changes, HistoryGone, TableState, TableStore
from turmericproxy.store.relaying import LARGE_DOMAIN_HOSTS, ReaderUpdate, RelayedStore

__all__ = [
    "LARGE_DOMAIN_HOSTS",
    "ChangedRow",
    "Changes",
    "HistoryGone",
    "ReaderUpdate",
    "RelayedStore",
    "StoreEras",
    "TableFollower",
    "TableState",
    "TableStore",
]
