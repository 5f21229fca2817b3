"""Ask servers for reports and give them orders."""

import json

from turmericproxy.edge import fetch
from turmericproxy.platform import names
from turmericproxy.platform.calls import CLOSE, write_call
from turmericproxy.platform.registrations import read_report
from turmericproxy.rollout.interfaces import EngineReport, OrderAnswer, WeightsOrder

CONNECT_SECONDS = 0.25
# Seconds for a report or an order to be answered; neither needs a slot.
ANSWER_SECONDS = 0.35
# Runs go on under new weights: finishing them first would keep the engine from new requests.
SWITCH_MODE = "retain"

_ANSWERS = {
    202: OrderAnswer.ACCEPTED,
    200: OrderAnswer.ALREADY_LOADED,
    409: OrderAnswer.BUSY_OR_CONFLICT,
    412: OrderAnswer.FENCED,
    400: OrderAnswer.REJECTED,
    421: OrderAnswer.REJECTED,
}


class PlatformEngines:
    """Speak to model servers about their weights."""

    async def read_report(self, address: str) -> EngineReport | str:
        """Return a server's report, or why there is none."""
        data = write_call("GET", names.REPORT_PATH, address, CLOSE)
        answer = await fetch(address, data, connect_timeout=CONNECT_SECONDS, timeout=ANSWER_SECONDS)
        if isinstance(answer, str):
            return answer
        head, body = answer
        try:
            return read_report(body)
        except (ValueError, KeyError, TypeError) as error:
            return f"status {head.status}: {error!r}"

    async def order_weights(self, address: str, order: WeightsOrder) -> OrderAnswer:
        """Give an order; one without an answer may still be carried out."""
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
        data = write_call("POST", names.ORDER_PATH, address, instance, CLOSE, content=content)
        answer = await fetch(address, data, connect_timeout=CONNECT_SECONDS, timeout=ANSWER_SECONDS)
        if isinstance(answer, str):
            return OrderAnswer.NO_ANSWER
        return _ANSWERS.get(answer[0].status, OrderAnswer.NO_ANSWER)
