"""Order engines to load weights until their reports show the configured versions."""

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
from turmericproxy.weights.orders import EngineModel, EngineReport, LoadOrder, plan_orders

ACTIVE_POLL_SECONDS = 0.2
IDLE_POLL_SECONDS = 2.0
# Time for which an order counts as pending if the engine's report does not show its effect.
PENDING_SECONDS = 1.0
# Time that hosts need to detect that an engine serves a version.
SETTLING_SECONDS = 1.0
PAUSE_LIMIT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 1.0
MAX_UNFENCED_AGE_SECONDS = 3.0
CALL_THREADS = 4


class SnapshotSource(Protocol):
    """Provide the newest accepted configuration."""

    def snapshot(self) -> Snapshot:
        """Return the newest snapshot."""

    def measure_age(self) -> float:
        """Return the seconds since the platform last confirmed the snapshot."""


@dataclass(frozen=True)
class _PendingOrder:
    """Represent a sent order whose effect is not reported yet."""

    order: LoadOrder
    sent_at: float


class WeightController:
    """Reconcile reported with configured versions in a thread.

    The state of an engine is taken from its reports alone, never from earlier orders, because an
    engine that ignores the fence may have executed an older order since.
    """

    def __init__(
        self, configuration: SnapshotSource, settings: UpstreamSettings, host: HostName
    ) -> None:
        self._configuration = configuration
        self._settings = settings
        self._host = host
        self._clients: dict[str, HttpClient] = {}
        self._pending: tuple[_PendingOrder, ...] = ()
        self._served_since: dict[tuple[EngineModel, str], float] = {}
        self._pause_detector = PauseDetector(PAUSE_LIMIT_SECONDS)
        self._pool = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="weights")
        self._loop = Loop(Part.WEIGHTS, "weights", self._run_once)

    def start(self) -> None:
        """Start the reconciliation thread."""
        self._loop.start()

    def close(self) -> None:
        """Stop the thread after orders in transit have been answered."""
        self._loop.close()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def reconcile(self) -> bool:
        """Send the orders that are due; return whether loads are still in progress."""
        snapshot = self._configuration.snapshot()
        reports = self._read_reports(snapshot)
        self._drop_completed_orders(snapshot, reports)
        self._pause_detector.record_tick()
        pending = [item.order for item in self._pending]
        settling = self._list_settling(reports)
        orders = plan_orders(snapshot, reports, pending, settling)
        # The process may have been paused since the reports were read.
        if self._pause_detector.is_paused():
            return True
        for order in orders:
            engine = snapshot.find_engine(order.engine)
            if engine and self._may_order(engine):
                self._send_order(engine, order)
        is_loading = any(report.loading for report in reports.values())
        return bool(orders or self._pending or is_loading or settling)

    def _run_once(self) -> float:
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
            log_event(
                Part.WEIGHTS,
                "engine report can't be parsed",
                engine=engine.name,
                reason=repr(error),
            )
            return None

    def _list_settling(self, reports: Mapping[EngineName, EngineReport]) -> frozenset[EngineModel]:
        """Return the pairs whose version has been served for less than the settling time."""
        now = read_boottime()
        served = {
            ((name, ModelName(model)), version)
            for name, report in reports.items()
            for model, version in report.versions.items()
            if model not in report.loading
        }
        self._served_since = {entry: self._served_since.get(entry, now) for entry in served}
        return frozenset(
            engine_model
            for (engine_model, _), since in self._served_since.items()
            if now - since < SETTLING_SECONDS
        )

    def _drop_completed_orders(
        self, snapshot: Snapshot, reports: dict[EngineName, EngineReport]
    ) -> None:
        now = read_boottime()
        self._pending = tuple(
            item
            for item in self._pending
            if now - item.sent_at < PENDING_SECONDS
            and _is_configured(item.order, snapshot)
            and not _is_in_effect(item.order, reports.get(item.order.engine))
        )

    def _may_order(self, engine: Engine) -> bool:
        # An engine that ignores the fence would also execute orders from an outdated configuration.
        return engine.checks_fence or self._configuration.measure_age() < MAX_UNFENCED_AGE_SECONDS

    def _send_order(self, engine: Engine, order: LoadOrder) -> None:
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
            "load ordered",
            engine=order.engine,
            model=order.model,
            version=order.version,
            fence=order.fence,
            checks_fence=engine.checks_fence,
            status=status,
        )
        if status == 409:
            log_event(Part.WEIGHTS, "engine rejected an outdated fence", engine=order.engine)
        # An order whose answer was lost may have been accepted.
        if status == 200 or (status == 0 and not is_unsent):
            self._pending += (_PendingOrder(order, read_boottime()),)

    def _get_client(self, engine: Engine) -> HttpClient:
        client = self._clients.get(engine.address)
        if client is None:
            client = HttpClient(
                engine.address,
                connect_timeout=self._settings.connect_timeout,
                read_timeout=READ_TIMEOUT_SECONDS,
                connections=1,
            )
            self._clients[engine.address] = client
        return client


def _is_configured(order: LoadOrder, snapshot: Snapshot) -> bool:
    model = snapshot.find_model(order.model)
    return model is not None and model.version == order.version


def _is_in_effect(order: LoadOrder, report: EngineReport | None) -> bool:
    if report is None:
        return True
    return order.model in report.loading or report.versions.get(order.model) == order.version
