"""Execute orders to load or unload models and adapters, or to change the role."""

import threading
import time
from dataclasses import dataclass
from typing import Any

from urllib3.exceptions import HTTPError

from turmericproxy.standins.engine.core import EngineCore
from turmericproxy.web import CallFailure, HttpClient

ADAPTER_LOAD_TIME_SHARE = 0.2
WEIGHT_RETRY_SECONDS = 0.1
RETRIED_STATUSES = (429, 503)


@dataclass(frozen=True)
class OrderReply:
    """Reply to an order; ``fence`` is the highest fence accepted so far."""

    accepted: bool
    fence: int


class OrderHandler:
    """Check the fence of orders, if the options ask for it, and execute them."""

    def __init__(self, core: EngineCore, weight_store: HttpClient | None, fence: int) -> None:
        self._core = core
        self._weight_store = weight_store
        self._lock = threading.Lock()
        self._load_lock = threading.Lock()
        self.fence = fence
        self.accepted: list[dict[str, Any]] = []

    def handle(self, order: dict[str, Any]) -> OrderReply:
        """Accept an order and execute it in the background, or refuse one with an old fence."""
        fence = int(order["fence"])
        with self._lock:
            if self._core.options.checks_fence and fence < self.fence:
                return OrderReply(False, self.fence)
            self.fence = max(fence, self.fence)
            self.accepted.append({**order, "at": time.time()})
        self._execute(order)
        return OrderReply(True, self.fence)

    def _execute(self, order: dict[str, Any]) -> None:
        core, model = self._core, str(order.get("model", ""))
        kind, version = order["kind"], str(order.get("version", ""))
        if kind == "set_role":
            core.set_role(str(order["role"]))
        elif kind == "unload":
            core.install(model, None)
        elif core.mark_loading(model, version):
            share = ADAPTER_LOAD_TIME_SHARE if kind == "load_adapter" else 1.0
            threading.Thread(
                target=self._load, args=(model, version, share), name="load", daemon=True
            ).start()

    def _load(self, model: str, version: str, share: float) -> None:
        with self._load_lock:
            self._fetch_weights(model, version)
            time.sleep(self._core.options.load_time * share)
            self._core.install(model, version)

    def _fetch_weights(self, model: str, version: str) -> None:
        if self._weight_store is None:
            return
        path = f"/v1/weights/{model}/{version}"
        while not self._download(self._weight_store, path):
            time.sleep(WEIGHT_RETRY_SECONDS)

    def _download(self, store: HttpClient, path: str) -> bool:
        answer = store.open("GET", path, fresh=True)
        if isinstance(answer, CallFailure):
            return False
        try:
            answer.read()
        except (HTTPError, OSError):
            return False
        finally:
            answer.close()
        return answer.status not in RETRIED_STATUSES
