"""Run rollouts of software on a host: the controller, the decider and the followed verdicts."""

import asyncio
from collections.abc import Callable

from turmericproxy.core import HostName, read_boottime
from turmericproxy.fleet.peers import PeerTable
from turmericproxy.logs import Part
from turmericproxy.metrics import Metrics
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.releases.controller import ReleaseController
from turmericproxy.releases.decider import (
    CHECK_SECONDS,
    LEASE_GUARD_SECONDS,
    LEASE_KEY,
    LEASE_TABLE,
    RELEASE_TABLE,
    ReleaseDecider,
    read_row,
)
from turmericproxy.releases.orders import ReleaseBounds, ReleaseStatus
from turmericproxy.rollout.lease_manager import LeaseManager
from turmericproxy.store import TableFollower, TableState, TableStore
from turmericproxy.tables.messages import Row, Write
from turmericproxy.tasks import repeat

# Time for which a call for changed verdicts waits. An answer is also a sign of contact with the
# store, so it is well below the time after which a host without contact leaves old versions.
WAIT_SECONDS = 1.3


class ReleaseService:
    """Start and close the parts; the table of verdicts is followed only while an order is open
    or its verdict has not been seen in the store."""

    def __init__(
        self, controller: ReleaseController, decider: ReleaseDecider, store: TableStore
    ) -> None:
        self.controller = controller
        self._decider = decider
        self._store = store
        self._follower: TableFollower | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to decide and to follow."""
        self._decider.start()
        self._task = asyncio.get_running_loop().create_task(
            repeat(Part.RELEASES, "follow rollouts", self._run)
        )

    async def close(self) -> None:
        """Stop all parts."""
        if self._task:
            self._task.cancel()
        await self._decider.close()
        if self._follower:
            await self._follower.close()

    def verify(self) -> None:
        """Compare the verdicts after the store was restored from an older copy."""
        self._decider.verify()

    async def _run(self) -> None:
        is_needed = self.controller.has_work or not self.controller.is_loaded
        if is_needed and self._follower is None:
            self._follower = TableFollower(
                self._store,
                RELEASE_TABLE,
                WAIT_SECONDS,
                self._apply_table,
                lambda changed: None if changed.is_deleted else self._apply_row(changed.row),
                lambda _seconds: self.controller.record_contact(),
            )
            self._follower.start()
        elif self._follower and not is_needed:
            await self._follower.close()
            self._follower = None
        await asyncio.sleep(CHECK_SECONDS)

    def _apply_table(self, table: TableState) -> None:
        for row in table.rows:
            self._apply_row(row)
        self.controller.is_loaded = True

    def _apply_row(self, row: Row) -> None:
        if state := read_row(row):
            self.controller.adopt(state, is_written=True)


def create_release_service(
    registry: UpstreamRegistry,
    bounds: ReleaseBounds,
    store: TableStore,
    host: HostName,
    holder: str,
    peers: PeerTable,
    create_status: Callable[[ReleaseStatus], Write],
    metrics: Metrics,
    *,
    is_first_start: bool,
) -> ReleaseService:
    """Create the parts of a host; ``holder`` names its machine in the lease."""
    controller = ReleaseController(
        registry, read_boottime, lambda: peers.measure_reachable_share() > 0.5, metrics
    )
    lease = LeaseManager(
        store,
        holder,
        LEASE_GUARD_SECONDS,
        read_boottime,
        is_first_start=is_first_start,
        table=LEASE_TABLE,
        key=LEASE_KEY,
        part=Part.RELEASES,
    )
    decider = ReleaseDecider(
        controller,
        bounds,
        store,
        lease,
        host,
        peers.list_reachable,
        peers.list_recent,
        create_status,
        read_boottime,
        metrics,
    )
    return ReleaseService(controller, decider, store)
