"""Hold what each host has counted for an order, and sum it over the fleet.

Reports hold only the counts that changed, and now and then all of them, since every host reads
those of every other one. The sums are kept up to date instead of being built for each decision.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from turmericproxy.core import HostName, Incarnation
from turmericproxy.releases.messages import ReleaseReport, decode_totals, encode_totals
from turmericproxy.releases.orders import ReleaseOrder, ReleaseState, encode_state
from turmericproxy.releases.samples import (
    NO_SAMPLES,
    SampleKey,
    Samples,
    add_sample,
    replace_samples,
)

# Reports after which one with all counts follows, for hosts that missed an earlier one.
FULL_REPORT_INTERVAL = 10
# The run of a host: a restarted one counts from 0, and its earlier counts stay.
Reporter = tuple[HostName, Incarnation]


@dataclass
class PeerCounts:
    """Hold the newest report of a host, when it arrived, and all counts of that host."""

    report: ReleaseReport
    received_at: float
    totals: dict[SampleKey, Samples] = field(default_factory=dict)


@dataclass
class OrderCounts:
    """Count this host's requests for one order, and hold the reports of the others.

    ``sums`` are the answers that all hosts have counted, also those that have ended since.
    """

    order: ReleaseOrder
    requests: int = 0
    sent: int = 0
    sums: dict[SampleKey, Samples] = field(default_factory=dict)
    peers: dict[Reporter, PeerCounts] = field(default_factory=dict)
    _own: dict[SampleKey, Samples] = field(default_factory=dict)
    _changed: set[SampleKey] = field(default_factory=set)
    _reported: tuple[int, int, bool] = (0, 0, False)
    _report_number: int = 0

    def add_answer(
        self, key: SampleKey, *, is_failure: bool, seconds: float, load_class: int
    ) -> None:
        """Count one answer."""
        previous = self._own.get(key, NO_SAMPLES)
        self._own[key] = add_sample(
            previous, is_failure=is_failure, seconds=seconds, load_class=load_class
        )
        self._changed.add(key)
        self._update_sum(key, previous, self._own[key])

    def receive(self, reporter: Reporter, report: ReleaseReport, now: float) -> None:
        """Replace what a host reported before."""
        peer = self.peers.setdefault(reporter, PeerCounts(report, now))
        peer.report, peer.received_at = report, now
        for key, samples in decode_totals(report.samples).items():
            self._update_sum(key, peer.totals.get(key, NO_SAMPLES), samples)
            peer.totals[key] = samples

    def _update_sum(self, key: SampleKey, previous: Samples, samples: Samples) -> None:
        self.sums[key] = replace_samples(self.sums.get(key, NO_SAMPLES), previous, samples)

    def copy_sums(self) -> Mapping[SampleKey, Samples]:
        """Return the present sums, which later answers don't change."""
        return dict(self.sums)

    def count_requests(self) -> int:
        """Return the requests that all hosts have received for the service since the order."""
        return self.requests + sum(peer.report.requests for peer in self.peers.values())

    def count_sent(self) -> int:
        """Return the attempts that all hosts have sent to the new version."""
        return self.sent + sum(peer.report.sent for peer in self.peers.values())

    def are_clear(self, hosts: Iterable[HostName]) -> bool:
        """Return whether the newest run of each host has reported to be clear of old versions."""
        newest: dict[HostName, PeerCounts] = {}
        for (host, _), peer in self.peers.items():
            known = newest.get(host)
            if known is None or peer.received_at >= known.received_at:
                newest[host] = peer
        return all(host in newest and newest[host].report.is_clear for host in hosts)

    def take_report(self, state: ReleaseState | None, *, is_clear: bool) -> ReleaseReport | None:
        """Return this host's next report, or ``None`` if it has nothing new.

        ``state`` is the known one, if it belongs to the order.
        """
        self._report_number += 1
        is_full = self._report_number % FULL_REPORT_INTERVAL == 0
        reported = (self.requests, self.sent, is_clear)
        if not self._changed and not is_full and reported == self._reported:
            return None
        keys = self._own if is_full else self._changed
        samples = encode_totals({key: self._own[key] for key in keys})
        self._changed, self._reported = set(), reported
        return ReleaseReport(
            self.order.service,
            self.order.version,
            self.order.row_version,
            self.requests,
            self.sent,
            is_clear,
            samples,
            encode_state(state) if state and state.phase.rank > 0 else None,
        )
