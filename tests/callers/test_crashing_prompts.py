"""Check that a chat with a message on which engines end isn't sent on and on."""

import threading
from contextlib import ExitStack
from dataclasses import replace
from typing import Any

from tests.callers.test_silence import CALL, Site
from turmericproxy.core import Refusal
from turmericproxy.standins.engine import EngineOptions, EngineStandIn, create_engine
from turmericproxy.web import HttpRequest, HttpResponse

ENGINES = 6
RESTART_SECONDS = 0.3
ALLOWED_RUNS = 5 + 3
SHARED_MESSAGE = {"role": "system", "content": "The rules on which engines end."}


def end_on_chats(engine: EngineStandIn) -> None:
    """Let an engine end when it begins to answer a chat, and come back empty."""
    answer = engine._chat

    def handle(request: HttpRequest) -> HttpResponse:
        response = answer(request)
        threading.Thread(target=engine.crash, args=(RESTART_SECONDS,), daemon=True).start()
        return response

    engine._routes["POST", "/v1/chat/completions"] = handle


# Issue 30: also at the product's own interface nothing adds up under which message engines ended.
def test_message_on_which_engines_end_is_no_longer_sent() -> None:
    with ExitStack() as stack:
        engines = []
        for _ in range(ENGINES):
            engine: Any = create_engine(EngineOptions(models={"notes": "v1"}))
            end_on_chats(engine)
            engine.start()
            stack.callback(engine.close)
            engines.append(engine)
        site = Site(engines, [32] * ENGINES, 100.0)
        for number in range(10):
            own = {"role": "user", "content": f"Question {number}"}
            prompt = f"system:{SHARED_MESSAGE['content']}\nuser:{own['content']}\n"
            call = replace(CALL, messages=(SHARED_MESSAGE, own), prompt=prompt)
            items = list(site.open(3.0, call))
            assert isinstance(items[-1], Refusal)
        assert site.count_runs() <= ALLOWED_RUNS
