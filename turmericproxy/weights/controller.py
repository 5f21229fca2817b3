"""Order engines to load weights until their reports show the wanted versions."""

from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Protocol

from turmericproxy.configuration import Engine, Snapshot
from turmericproxy.core import EngineName, HostName, ModelName, PauseDetector, read_boottime
from turmericproxy.core.loops import Loop
from turmericproxy.logs import Part, log_decision, log_event
from turmericproxy.settings.schema import UpstreamSettings
from turmericproxy.web import CallFailure, HttpClient
from turmericproxy.weights.orders import EngineReport, LoadOrder, Place, plan_orders

ACTIVE_POLL_SECONDS = 0.2
IDLE_POLL_SECONDS = 2.0
AWAITED_SECONDS = 1.0
SETTLE_SECONDS = 1.0
PAUSE_LIMIT_SECONDS = 1.0
CALL_SECONDS = 1.0
UNFENCED_AGE_SECONDS = 3.0
CALL_THREADS = 4


class SnapshotSource(Protocol):
    """Give the newest accepted configuration."""

    def snapshot(self) -> Snapshot:
        """Return the newest snapshot."""

    def measure_age(self) -> float:
        """Return for how many seconds the platform has not confirmed the snapshot."""


@dataclass(frozen=True)
class _AwaitedOrder:
    """Hold an order whose effect is not reported yet, with its time of sending."""

    order: LoadOrder
    sent_at: float


class WeightController:
    """Reconcile reported with wanted versions in a thread.

    The state of an engine is taken from its reports alone, never from what was ordered: an engine
    that ignores the fence may have followed an older order since.
    """

    def __init__(
        self, configuration: SnapshotSource, settings: UpstreamSettings, host: HostName
    ) -> None:
        self._configuration = configuration
        self._settings = settings
        self._host = host
        self._clients: dict[str, HttpClient] = {}
        self._awaited: tuple[_AwaitedOrder, ...] = ()
        self._served_since: dict[tuple[Place, str], float] = {}
        self._watch = PauseDetector(PAUSE_LIMIT_SECONDS)
        self._pool = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="weights")
        self._loop = Loop(Part.WEIGHTS, "weights", self._step)

    def start(self) -> None:
        """Start to reconcile."""
        self._loop.start()

    def close(self) -> None:
        """Stop to reconcile; orders on their way are waited for."""
        self._loop.close()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def reconcile(self) -> bool:
        """Send the orders that are due and return whether loads are under way."""
        snapshot = self._configuration.snapshot()
        reports = self._read_reports(snapshot)
        self._forget_settled(snapshot, reports)
        self._watch.record_tick()
        awaited = [item.order for item in self._awaited]
        settling = self._list_settling(reports)
        orders = plan_orders(snapshot, reports, awaited, settling)
        # The process may have been paused since the reports were read.
        if self._watch.is_paused():
            return True
        for order in orders:
            engine = snapshot.find_engine(order.engine)
            if engine and self._is_entitled(engine):
                self._send(engine, order)
        is_loading = any(report.loading for report in reports.values())
        return bool(orders or self._awaited or is_loading or settling)

    def _step(self) -> float:
        return ACTIVE_POLL_SECONDS if self.reconcile() else IDLE_POLL_SECONDS

    def _read_reports(self, snapshot: Snapshot) -> dict[EngineName, EngineReport]:
        engines = snapshot.list_engines()
        reports = self._pool.map(self._read_report, engines)
        return {
            EngineName(engine.name): report
            for engine, report in zip(engines, reports, strict=True)
            if report is not None
        }

    def _read_report(self, engine: Engine) -> EngineReport | None:
        answer = self._get_client(engine).call_json("GET", "/v1/load")
        if isinstance(answer, CallFailure) or answer[0] != 200:
            return None
        try:
            body = answer[1]
            return EngineReport(dict(body["versions"]), frozenset(body.get("loading", ())))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log_event(Part.WEIGHTS, "report can't be read", engine=engine.name, reason=repr(error))
            return None

    def _list_settling(self, reports: Mapping[EngineName, EngineReport]) -> frozenset[Place]:
        """Return where a version has been served for less than hosts need to learn of it."""
        now = read_boottime()
        served = {
            ((name, ModelName(model)), version)
            for name, report in reports.items()
            for model, version in report.versions.items()
            if model not in report.loading
        }
        self._served_since = {entry: self._served_since.get(entry, now) for entry in served}
        return frozenset(
            place
            for (place, _), begun in self._served_since.items()
            if now - begun < SETTLE_SECONDS
        )

    def _forget_settled(self, snapshot: Snapshot, reports: dict[EngineName, EngineReport]) -> None:
        now = read_boottime()
        self._awaited = tuple(
            item
            for item in self._awaited
            if now - item.sent_at < AWAITED_SECONDS
            and _is_wanted(item.order, snapshot)
            and not _is_effective(item.order, reports.get(item.order.engine))
        )

    def _is_entitled(self, engine: Engine) -> bool:
        # An engine that ignores the fence would follow a host with an old configuration.
        return engine.checks_fence or self._configuration.measure_age() < UNFENCED_AGE_SECONDS

    def _send(self, engine: Engine, order: LoadOrder) -> None:
        body = {
            "fence": order.fence,
            "kind": "load",
            "model": order.model,
            "version": order.version,
        }
        answer = self._get_client(engine).call_json("POST", "/v1/orders", body, fresh=True)
        is_unsent = isinstance(answer, CallFailure) and answer.is_unsent
        status = 0 if isinstance(answer, CallFailure) else answer[0]
        log_decision(
            Part.WEIGHTS,
            "ordered a load",
            engine=order.engine,
            model=order.model,
            version=order.version,
            fence=order.fence,
            checks_fence=engine.checks_fence,
            status=status,
        )
        if status == 409:
            log_event(Part.WEIGHTS, "engine has seen a newer fence", engine=order.engine)
        # An order whose answer was lost may have been taken.
        if status == 200 or (status == 0 and not is_unsent):
            self._awaited += (_AwaitedOrder(order, read_boottime()),)

    def _get_client(self, engine: Engine) -> HttpClient:
        client = self._clients.get(engine.address)
        if client is None:
            client = HttpClient(
                engine.address,
                connect_timeout=self._settings.connect_timeout,
                read_timeout=CALL_SECONDS,
                connections=1,
            )
            self._clients[engine.address] = client
        return client


def _is_wanted(order: LoadOrder, snapshot: Snapshot) -> bool:
    model = snapshot.find_model(order.model)
    return model is not None and model.version == order.version


def _is_effective(order: LoadOrder, report: EngineReport | None) -> bool:
    if report is None:
        return True
    return order.model in report.loading or report.versions.get(order.model) == order.version
