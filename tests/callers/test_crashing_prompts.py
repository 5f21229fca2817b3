"""Check that a chat with a message on which engines end isn't sent on and on."""

import threading
import time
from contextlib import ExitStack
from dataclasses import replace
from typing import Any

import pytest

from tests.callers.test_silence import CALL, PIECES, Site
from turmericproxy.callers.calls import ChatCall
from turmericproxy.callers.streams import StreamEnd
from turmericproxy.core import Refusal
from turmericproxy.standins.engine import EngineOptions, EngineStandIn, create_engine
from turmericproxy.web import HttpRequest, HttpResponse

ENGINES = 6
RESTART_SECONDS = 0.3
# Time in which an engine sends the head of an answer.
HEAD_SECONDS = 0.02
DEADLINE_SECONDS = 3.0
SOUND_CHATS = 30
SOUND_PIECES = 2
ALLOWED_RUNS = 5 + 3
CRASHING_RULES = "The rules on which engines end."
SOUND_RULES = "The rules of all other chats."


class EndingEngines:
    """Let engines end when they begin to answer a chat with some rules, and come back empty.

    With ``listening_seconds``, each breaks its connections first, and goes on listening for so long
    without an answer.
    """

    def __init__(self, listening_seconds: float) -> None:
        self.runs = 0
        self._listening_seconds = listening_seconds
        self._ending: set[EngineStandIn] = set()

    def prepare(self, engine: EngineStandIn) -> None:
        answer = engine._chat

        def handle(request: HttpRequest) -> HttpResponse:
            response = answer(request)
            if CRASHING_RULES in str(engine.served.describe()[-1]):
                self.runs += 1
                threading.Thread(target=self._end, args=(engine,), daemon=True).start()
            return response

        engine._routes["POST", "/v1/chat/completions"] = handle

    def _end(self, engine: EngineStandIn) -> None:
        if engine in self._ending:
            return
        self._ending.add(engine)
        if self._listening_seconds:
            time.sleep(HEAD_SECONDS)
            engine.pause(self._listening_seconds)
            engine._abort_connections()
            time.sleep(self._listening_seconds)
        engine.crash(RESTART_SECONDS)
        self._ending.remove(engine)


def create_call(rules: str, number: int) -> ChatCall:
    messages = (
        {"role": "system", "content": rules},
        {"role": "user", "content": f"Question {number}"},
    )
    prompt = "".join(f"{message['role']}:{message['content']}\n" for message in messages)
    pieces = PIECES if rules == CRASHING_RULES else SOUND_PIECES
    return replace(CALL, messages=messages, prompt=prompt, max_tokens=pieces)


# Issue 30: also at the product's own interface nothing added up under which message engines ended.
# Engines that listened for a moment while they ended weren't seen to end at all.
@pytest.mark.parametrize("listening_seconds", [0.0, 0.25])
def test_message_on_which_engines_end_is_no_longer_sent(listening_seconds: float) -> None:
    ending = EndingEngines(listening_seconds)
    with ExitStack() as stack:
        engines: list[Any] = []
        for _ in range(ENGINES):
            engine = create_engine(EngineOptions(models={"notes": "v1"}, record_bodies=True))
            ending.prepare(engine)
            engine.start()
            stack.callback(engine.close)
            engines.append(engine)
        site = Site(engines, [32] * ENGINES, 100.0)

        def send(rules: str, number: int) -> object:
            return list(site.open(DEADLINE_SECONDS, create_call(rules, number)))[-1]

        for number in range(SOUND_CHATS):
            assert isinstance(send(SOUND_RULES, number), StreamEnd)
        for number in range(10):
            assert isinstance(send(CRASHING_RULES, number), Refusal)
            send(SOUND_RULES, number)
        assert ending.runs <= ALLOWED_RUNS
        time.sleep(2 * RESTART_SECONDS)
        for number in range(10):
            assert isinstance(send(SOUND_RULES, number), StreamEnd)
