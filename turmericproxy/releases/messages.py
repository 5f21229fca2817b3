"""Define what hosts tell each other about rollouts of software, and its encoding."""

from typing import Any, NamedTuple

from turmericproxy.core import RouteName
from turmericproxy.core.ids import ServiceName
from turmericproxy.releases.orders import decode_state, encode_state
from turmericproxy.releases.samples import SampleKey, Samples, Totals

# A sample key, its answers and failures, and lists of a load class, a bucket and its count.
EncodedSamples = tuple[bool, RouteName, int, int, tuple[tuple[int, int, int], ...]]


class ReleaseNotice(NamedTuple):
    """Announce the decider's state of a rollout, as encoded by ``orders.encode_state``.

    The fence of a later decider is higher. The notice is also the sign that the decider runs.
    """

    fence: int
    state: list[object]


class ReleaseReport(NamedTuple):
    """Report what one host has counted since an order, which its row's version identifies.

    ``sent`` of its ``requests`` to the service went to the new version. ``is_clear`` tells that the
    host sends nothing to old versions any more and has no request open there. ``state`` is the
    known state once it no longer is one of the steps, so that hosts that don't hear the decider
    learn it.
    """

    service: ServiceName
    version: str
    order: int
    requests: int
    sent: int
    is_clear: bool
    samples: tuple[EncodedSamples, ...]
    state: list[object] | None


def encode_totals(totals: Totals) -> tuple[EncodedSamples, ...]:
    """Return counts in the form that reports have."""
    return tuple(
        (
            key.is_new,
            key.route,
            samples.answers,
            samples.failures,
            tuple((load, bucket, count) for (load, bucket), count in samples.latencies.items()),
        )
        for key, samples in totals.items()
    )


def decode_totals(encoded: tuple[EncodedSamples, ...]) -> dict[SampleKey, Samples]:
    """Return the counts of a report."""
    return {
        SampleKey(is_new, route): Samples(
            answers, failures, {(load, bucket): count for load, bucket, count in latencies}
        )
        for is_new, route, answers, failures, latencies in encoded
    }


def decode_release_notices(value: Any) -> tuple[ReleaseNotice, ...]:
    """Decode notices; errors of malformed values are passed on."""
    return tuple(ReleaseNotice(int(fence), _check_state(state)) for fence, state in value)


def decode_release_reports(value: Any) -> tuple[ReleaseReport, ...]:
    """Decode reports; errors of malformed values are passed on."""
    return tuple(
        ReleaseReport(
            ServiceName(str(service)),
            str(version),
            int(order),
            int(requests),
            int(sent),
            bool(is_clear),
            tuple(
                (bool(is_new), RouteName(str(route)), int(answers), int(failures), _read(latencies))
                for is_new, route, answers, failures, latencies in samples
            ),
            None if state is None else _check_state(state),
        )
        for service, version, order, requests, sent, is_clear, samples, state in value
    )


def _read(latencies: Any) -> tuple[tuple[int, int, int], ...]:
    return tuple((int(load), int(bucket), int(count)) for load, bucket, count in latencies)


def _check_state(state: Any) -> list[object]:
    """Return an encoded state that can be decoded."""
    return encode_state(decode_state(state))
