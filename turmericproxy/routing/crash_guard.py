"""Refuse chats with messages on which engines end, at the product's own interface."""

import hashlib
import socket
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from turmericproxy.core import (
    EngineName,
    HostName,
    ModelName,
    Refusal,
    RequestId,
    ResultCode,
    read_boottime,
    refuse,
)
from turmericproxy.core.addresses import split_address
from turmericproxy.core.ids import InstanceId
from turmericproxy.crashes.blocks import Block, BlockList, compute_block_seconds
from turmericproxy.crashes.evidence import (
    BrokenPrompt,
    EndReport,
    EngineStart,
    ModelPart,
    decode_reports,
)
from turmericproxy.crashes.judgement import Suspicion
from turmericproxy.crashes.ledger import EngineEnd
from turmericproxy.crashes.suspects import Suspects
from turmericproxy.logs import Part, log_event
from turmericproxy.routing.block_table import BlockTable

ENDS_MESSAGE = "routing.ends"
CONNECT_TIMEOUT_SECONDS = 0.3
# Delays before further probes of an engine that still listens after an answer broke off.
LATER_PROBE_DELAYS = (0.1, 0.4)
# Ends of one engine that are closer are the same one: a restart takes longer.
SAME_END_SECONDS = 0.25
# Engines that are probed in the background at the same time.
MAX_PROBED_ENGINES = 8
# Broken attempts that are remembered; the oldest are dropped.
MAX_BROKEN_ATTEMPTS = 1024
DIGEST_BYTES = 8
OWN_HOST = HostName("")


def list_message_parts(messages: Sequence[dict[str, str]]) -> tuple[str, ...]:
    """Return a digest of each message but the last one, which other chats don't have."""
    return tuple(
        hashlib.blake2b(
            f"{message['role']}:{message['content']}".encode(), digest_size=DIGEST_BYTES
        ).hexdigest()
        for message in messages[:-1]
    )


def is_refused(address: str) -> bool:
    """Return whether nothing listens at ``ip:port``."""
    try:
        socket.create_connection(split_address(address), CONNECT_TIMEOUT_SECONDS).close()
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError) as error:
        log_event(Part.ROUTING, "engine not probed", address=address, reason=repr(error))
    return False


@dataclass
class _BrokenAttempt:
    """Hold when an attempt broke, and whether it counts among those that broke with an engine."""

    broken_at: float
    is_recorded: bool = False


class CrashGuard:
    """Add up the ends of engines that this host and its peers see; thread-safe.

    ``find_address`` returns the address of an engine, ``None`` for an unknown one. Without a
    ``table`` the blocks are forgotten at a restart.
    """

    def __init__(
        self,
        links: Any,
        find_address: Callable[[EngineName], str | None],
        read_clock: Callable[[], float] = read_boottime,
        table: BlockTable | None = None,
    ) -> None:
        self._links = links
        self._table = table
        self._find_address = find_address
        self._read_clock = read_clock
        self._lock = threading.Lock()
        self._suspects = Suspects()
        self._blocks = BlockList()
        self._last_ends: dict[EngineName, EngineEnd] = {}
        self._broken: OrderedDict[RequestId, _BrokenAttempt] = OrderedDict()
        self._probes = threading.BoundedSemaphore(MAX_PROBED_ENGINES)

    def start(self) -> None:
        """Read the stored blocks, and receive what peers report, if there are links to peers."""
        if self._table is not None:
            self._table.start(self._restore)
        if self._links is not None:
            self._links.register(ENDS_MESSAGE, self.receive)

    def close(self) -> None:
        """Stop writing blocks."""
        if self._table is not None:
            self._table.close()

    def check(self, model: ModelName, parts: Sequence[str]) -> Refusal | None:
        """Return a refusal if engines have ended on parts of a prompt."""
        with self._lock:
            block = self._blocks.find(model, parts)
            now = self._read_clock()
            if block and now >= block.until:
                self._blocks.remove(block.key)
                log_event(Part.ROUTING, "block lifted", block=block.name, reason="its time is over")
                return None
        if block is None:
            return None
        reason = f"engines have ended on prompts with {block.name}"
        return refuse(ResultCode.PROMPT_BLOCKED, reason, retry_after=round(block.until - now, 1))

    def record_answer(self, model: ModelName, parts: Sequence[str]) -> None:
        """Record that a prompt was answered completely."""
        with self._lock:
            self._suspects.record_answer(model, parts, self._read_clock())

    def record_broken(
        self,
        engine: EngineName,
        address: str,
        prompt: BrokenPrompt,
        *,
        is_forgotten: bool = False,
    ) -> bool:
        """Record a prompt whose answer broke off; return whether its engine is known to have ended.

        An engine that still listens is probed again in the background, and the prompt may be
        recorded once more, later. ``is_forgotten`` tells that the engine no longer knows the
        prompt, since it has started again.
        """
        attempt = self._find_attempt(prompt)
        if attempt.is_recorded:
            return True
        if is_forgotten or is_refused(address):
            self._record_end(engine, prompt, attempt)
            return True

        def probe_later() -> None:
            for delay in LATER_PROBE_DELAYS:
                time.sleep(delay)
                if is_refused(address):
                    self._record_end(engine, prompt, attempt)
                    return

        self._start_probe(probe_later)
        return False

    def _find_attempt(self, prompt: BrokenPrompt) -> _BrokenAttempt:
        """Return the attempt of a prompt, which has broken just now if it isn't known."""
        with self._lock:
            attempt = self._broken.get(prompt.request_id)
            if attempt is None:
                attempt = self._broken[prompt.request_id] = _BrokenAttempt(self._read_clock())
                if len(self._broken) > MAX_BROKEN_ATTEMPTS:
                    self._broken.popitem(last=False)
            return attempt

    def _record_end(
        self, engine: EngineName, prompt: BrokenPrompt, attempt: _BrokenAttempt
    ) -> None:
        """Add a prompt that broke with its engine to the evidence, once, and tell the peers."""
        with self._lock:
            if attempt.is_recorded:
                return
            attempt.is_recorded = True
            now = self._read_clock()
            seconds = now - attempt.broken_at
            # Attempts that broke with the same end are known by the time, not by that of a probe.
            start = self._find_start(engine, attempt.broken_at)
            aged = prompt._replace(seconds=prompt.seconds + seconds)
            report = EndReport(start, seconds, (aged,), 1)
            end = self._add(engine, report, OWN_HOST, now)
            end.is_observed = True
            self._review(end)
        log_event(
            Part.ROUTING,
            "engine ended",
            engine=engine,
            request_id=prompt.request_id,
            has_begun=prompt.has_begun,
        )
        if self._links is not None:
            self._links.broadcast(ENDS_MESSAGE, [report])

    def receive(self, host: HostName, body: Any) -> None:
        """Add what a peer reports; malformed reports are logged and dropped."""
        try:
            reports = decode_reports(body)
        except (ValueError, TypeError) as error:
            log_event(Part.PEERS, "invalid reports of ended engines", peer=host, reason=repr(error))
            return
        for report in reports:
            engine = EngineName(str(report.engine.instance))
            with self._lock:
                now = self._read_clock()
                at = now - report.seconds
                known = report._replace(engine=self._find_start(engine, at))
                end = self._add(engine, known, host, now)
                self._review(end)
            if not end.is_credible:
                self._start_probe(partial(self._probe_reported, engine, end))

    def _start_probe(self, probe: Callable[[], None]) -> None:
        """Run a probe in the background, unless too many are under way."""

        def run() -> None:
            try:
                probe()
            finally:
                self._probes.release()

        if self._probes.acquire(blocking=False):
            threading.Thread(target=run, name="end-probe", daemon=True).start()
        else:
            log_event(Part.ROUTING, "engine not probed", reason="too many probes under way")

    def _probe_reported(self, engine: EngineName, end: EngineEnd) -> None:
        address = self._find_address(engine)
        if address and is_refused(address):
            with self._lock:
                end.is_observed = True
                self._review(end)

    def _find_start(self, engine: EngineName, at: float) -> EngineStart:
        last = self._last_ends.get(engine)
        if last and abs(last.at - at) < SAME_END_SECONDS:
            return last.engine
        return EngineStart(InstanceId(engine), int(at * 1000))

    def _add(self, engine: EngineName, report: EndReport, host: HostName, now: float) -> EngineEnd:
        end = self._suspects.ledger.add(report, host, now)
        if self._find_address(engine) is not None:
            self._last_ends[engine] = end
        return end

    def _review(self, end: EngineEnd) -> None:
        """Block the parts of an end against which there is enough by now."""
        if not end.is_credible:
            return
        for part in end.suspect_parts:
            suspicion = self._suspects.assess(part, self._read_clock())
            if suspicion is None or not suspicion.is_sufficient:
                continue
            if suspicion.is_confirmed_by(OWN_HOST):
                self._block(part, suspicion)

    def _restore(self, block: Block) -> None:
        with self._lock:
            if self._blocks.find(block.model, block.parts):
                return
            self._blocks.add(block)
        log_event(Part.ROUTING, "part blocked", block=block.name, source="store")

    def _block(self, part: ModelPart, suspicion: Suspicion) -> None:
        parts = self._suspects.list_inseparable(part, suspicion)
        if self._blocks.find(part.model, parts):
            return
        block = Block(part.model, parts, self._read_clock() + compute_block_seconds(0))
        self._blocks.add(block)
        if self._table is not None:
            self._table.write(block)
        log_event(
            Part.ROUTING,
            "part blocked",
            block=block.name,
            source="evidence",
            engines=sorted({end.engine.instance for end in suspicion.ends}),
            requests=[blamed.prompt.request_id for blamed in suspicion.prompts],
        )
