"""Send chats to a cluster at the same time and compare the answers with the known text."""

import random
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from turmericproxy.bench.calls import Caller, ChatResult, build_chat
from turmericproxy.bench.cluster import Cluster
from turmericproxy.standins.engine import generate_text

WORDS = ("pin", "bridge", "treble", "hammer", "felt", "string", "damper", "flat", "sharp", "loose")


def write_text(source: random.Random, characters: int) -> str:
    """Return random words of about that many characters."""
    words = source.choices(WORDS, k=characters // 5)
    return " ".join(words)[:characters]


@dataclass(frozen=True)
class Chat:
    """Describe a chat to send: by which host, for which client account, and how."""

    host: str
    prompt: str
    max_tokens: int
    is_streamed: bool = True
    account: str = "afinaciones"

    def get_expected_text(self, version: str = "1") -> str:
        """Return the text that an engine generates for the prompt."""
        return generate_text(f"user:{self.prompt}\n", "verdict", version, self.max_tokens)


@dataclass(frozen=True)
class ChatRun:
    """Pair a chat with what it got."""

    chat: Chat
    result: ChatResult

    def find_fault(self, version: str = "1") -> str:
        """Return what is wrong with the answer, or an empty text."""
        result = self.result
        if not result.is_complete:
            reason = result.fault or dict(result.error) or "not closed"
            return f"{self.chat.host}: status {result.status}: {reason}"
        if result.text != self.chat.get_expected_text(version):
            return f"{self.chat.host}: another text, {len(result.text)} characters"
        return ""


def send_chat(cluster: Cluster, chat: Chat) -> ChatRun:
    """Send one chat over a connection of its own."""
    caller = Caller(cluster.get_address(chat.host, "callers"), cluster.keys[chat.account])
    body = build_chat(chat.prompt, chat.max_tokens)
    try:
        return ChatRun(chat, caller.stream(body) if chat.is_streamed else caller.chat(body))
    finally:
        caller.close()


@dataclass
class ChatLoad:
    """Send chats at the same time, in threads of their own."""

    cluster: Cluster
    chats: list[Chat]
    _pool: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(32))

    def start(self) -> None:
        """Send all chats now."""
        self._futures = [self._pool.submit(send_chat, self.cluster, chat) for chat in self.chats]

    def finish(self, timeout: float = 60.0) -> list[ChatRun]:
        """Return what each chat got."""
        runs = [future.result(timeout) for future in self._futures]
        self._pool.shutdown()
        return runs


def create_chats(
    cluster: Cluster, source: random.Random, count: int, max_tokens: int, is_streamed: bool = True
) -> list[Chat]:
    """Return chats with prompts of their own, divided among the hosts."""
    hosts = cluster.host_names
    return [
        Chat(hosts[n % len(hosts)], write_text(source, 400) + f" {n}", max_tokens, is_streamed)
        for n in range(count)
    ]


class SteadyLoad:
    """Repeat calls in several threads until stopped, and keep what each returned."""

    def __init__(self, call: Callable[[int], object], threads: int) -> None:
        self.results: list[object] = []
        self._call = call
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True) for n in range(threads)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self, timeout: float = 30.0) -> list[object]:
        """End the calls under way and return all results."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(timeout)
        return self.results

    def _run(self, number: int) -> None:
        while not self._stopped.is_set():
            self.results.append(self._call(number))
