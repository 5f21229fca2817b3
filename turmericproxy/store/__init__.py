"""Follow tables of the store on the event loop, and ride out its outages."""

from turmericproxy.store.following import TableFollower
from turmericproxy.store.ports import ChangedRow, Changes, HistoryGone, TableState, TableStore
from turmericproxy.store.relaying import ReaderNews, RelayedStore

__all__ = [
    "ChangedRow",
    "Changes",
    "HistoryGone",
    "ReaderNews",
    "RelayedStore",
    "TableFollower",
    "TableState",
    "TableStore",
]
