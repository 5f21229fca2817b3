"""Check when a silent upstream is suspected, left and trusted again."""

import asyncio
import selectors
from dataclasses import dataclass, field

from turmericproxy.traffic.silence import SilenceHandlers, SilenceLimits, SilenceWatch

# Steps of the virtual clock, so that a timer of nearly no delay comes due.
CLOCK_STEP_SECONDS = 1e-6
LIMITS = SilenceLimits(suspicion=0.02, patience=0.06)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__(_JumpingSelector(self))
        self.now = 0.0

    def time(self) -> float:
        return self.now


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self._loop.now += max(CLOCK_STEP_SECONDS, timeout or 0.0)
        return super().select(0)


@dataclass
class FakeCall:
    has_ended: bool = False
    has_unread_data: bool = False


@dataclass
class Recorder:
    """Record what a watch does; the search that follows ``refusals`` others ends the call."""

    refusals: int = 0
    steps: list[str] = field(default_factory=list)

    def replace(self, call: FakeCall) -> None:
        self.steps.append("replace")
        self.refusals -= 1
        call.has_ended = self.refusals < 0

    def watch(self, call: FakeCall) -> SilenceWatch:
        handlers = SilenceHandlers(
            suspect=lambda: self.steps.append("suspect"),
            clear=lambda: self.steps.append("clear"),
            replace=lambda: self.replace(call),
        )
        return SilenceWatch(call, LIMITS, handlers)  # type: ignore[arg-type]


def run_watch(call: FakeCall, recorder: Recorder, seconds: float, *, progress: int = 0) -> None:
    async def run() -> None:
        watch = recorder.watch(call)
        for _ in range(progress):
            await asyncio.sleep(0.04)
            watch.record_progress(LIMITS)
        await asyncio.sleep(seconds)
        watch.close()

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(run())


def test_search_ends_with_the_call() -> None:
    call, recorder = FakeCall(), Recorder()
    run_watch(call, recorder, 0.15)
    assert (recorder.steps, call.has_ended) == (["suspect", "replace"], True)


# Incident 23: a call was ended for its silence although nothing could take its place.
def test_search_is_repeated_while_there_is_no_replacement() -> None:
    call, recorder = FakeCall(), Recorder(refusals=10)
    run_watch(call, recorder, 0.45)
    assert (recorder.steps, call.has_ended) == (["suspect", "replace", "replace"], False)


def test_call_that_goes_on_is_trusted_again_and_kept() -> None:
    call, recorder = FakeCall(), Recorder()
    run_watch(call, recorder, 0.0, progress=3)
    assert (recorder.steps, call.has_ended) == (["suspect", "clear"] * 3, False)


# A client that reads slowly must not make its upstream look silent.
def test_call_with_unread_data_is_not_silent() -> None:
    call, recorder = FakeCall(has_unread_data=True), Recorder()
    run_watch(call, recorder, 0.15)
    assert (recorder.steps, call.has_ended) == ([], False)
