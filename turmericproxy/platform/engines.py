"""Read reports of engines and send them load orders."""

import json

from turmericproxy.edge import fetch
from turmericproxy.platform import names
from turmericproxy.platform.calls import CONNECTION_CLOSE, encode_request
from turmericproxy.platform.notices import read_notice
from turmericproxy.platform.registrations import read_report
from turmericproxy.rollout.interfaces import (
    EngineReport,
    OrderAnswer,
    OrderResult,
    ReportUnavailable,
    WeightsOrder,
)

CONNECT_TIMEOUT_SECONDS = 0.25
# Time limit for the answer to a report request or an order; neither occupies a batch slot. A sound
# engine may be silent for more than a second and answer then.
ANSWER_TIMEOUT_SECONDS = 1.7
# Running requests continue with the new weights. Finishing them first would block the engine for
# new requests.
SWITCH_MODE = "retain"

_ORDER_ANSWERS = {
    202: OrderAnswer.ACCEPTED,
    200: OrderAnswer.ALREADY_LOADED,
    409: OrderAnswer.BUSY_OR_CONFLICT,
    412: OrderAnswer.FENCED,
    400: OrderAnswer.REJECTED,
    421: OrderAnswer.REJECTED,
}


class PlatformEngineControl:
    """Client for the model versions of engines."""

    async def read_report(self, address: str) -> EngineReport | ReportUnavailable:
        """Return an engine's report, or the reason why it could not be read."""
        data = encode_request("GET", names.REPORT_PATH, address, CONNECTION_CLOSE)
        answer = await fetch(
            address, data, connect_timeout=CONNECT_TIMEOUT_SECONDS, timeout=ANSWER_TIMEOUT_SECONDS
        )
        if isinstance(answer, str):
            return ReportUnavailable(answer)
        head, body = answer
        notice = read_notice(head)
        try:
            return read_report(body, notice)
        except (ValueError, KeyError, TypeError) as error:
            return ReportUnavailable(f"status {head.status}: {error!r}", notice)

    async def order_weights(self, address: str, order: WeightsOrder) -> OrderResult:
        """Send an order; without an answer the engine may still execute it."""
        content = json.dumps(
            {
                "operation": "version",
                "model": order.model,
                "version": order.version,
                "switch_mode": SWITCH_MODE,
                "holder": order.holder,
                "fence": order.fence,
                "expected": order.accepted_orders,
            }
        ).encode()
        instance = f"{names.EXPECTED_INSTANCE}: {order.instance}"
        data = encode_request(
            "POST", names.ORDER_PATH, address, instance, CONNECTION_CLOSE, content=content
        )
        answer = await fetch(
            address, data, connect_timeout=CONNECT_TIMEOUT_SECONDS, timeout=ANSWER_TIMEOUT_SECONDS
        )
        if isinstance(answer, str):
            return OrderResult(OrderAnswer.NO_ANSWER)
        head, _ = answer
        return OrderResult(
            _ORDER_ANSWERS.get(head.status, OrderAnswer.NO_ANSWER), read_notice(head)
        )
