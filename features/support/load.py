"""Send concurrent chats to a cluster, and compare the answers with the expected text."""

import random
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from turmericproxy.bench.calls import Caller, ChatResult, build_chat
from turmericproxy.bench.cluster import Cluster
from turmericproxy.standins.engine import generate_text

WORDS = ("pin", "bridge", "treble", "hammer", "felt", "string", "damper", "flat", "sharp", "loose")


def generate_words(source: random.Random, characters: int) -> str:
    """Return random words of about ``characters`` characters altogether."""
    words = source.choices(WORDS, k=characters // 5)
    return " ".join(words)[:characters]


@dataclass(frozen=True)
class Chat:
    """Describe a chat to send: its host, prompt, length, mode and client account."""

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
    """Pair a chat with its result."""

    chat: Chat
    result: ChatResult

    def find_fault(self, version: str = "1") -> str:
        """Return a description of what is wrong with the answer, or an empty string."""
        result = self.result
        if not result.is_complete:
            reason = result.fault or dict(result.error) or "not closed"
            return f"{self.chat.host}: status {result.status}: {reason}"
        if result.text != self.chat.get_expected_text(version):
            return f"{self.chat.host}: unexpected text, {len(result.text)} characters"
        return ""


def send_chat(cluster: Cluster, chat: Chat) -> ChatRun:
    """Send one chat over a new connection."""
    caller = Caller(cluster.get_address(chat.host, "callers"), cluster.keys[chat.account])
    body = build_chat(chat.prompt, chat.max_tokens)
    try:
        return ChatRun(chat, caller.stream(body) if chat.is_streamed else caller.chat(body))
    finally:
        caller.close()


@dataclass
class ChatLoad:
    """Send up to 32 chats concurrently, one per thread."""

    cluster: Cluster
    chats: list[Chat]
    _executor: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(32))

    def start(self) -> None:
        """Start to send all chats."""
        self._futures = [
            self._executor.submit(send_chat, self.cluster, chat) for chat in self.chats
        ]

    def finish(self, timeout: float = 60.0) -> list[ChatRun]:
        """Wait for all chats and return each with its result."""
        runs = [future.result(timeout) for future in self._futures]
        self._executor.shutdown()
        return runs


def create_chats(
    cluster: Cluster, source: random.Random, count: int, max_tokens: int, is_streamed: bool = True
) -> list[Chat]:
    """Return chats with distinct prompts, distributed evenly over the hosts."""
    hosts = cluster.host_names
    return [
        Chat(hosts[n % len(hosts)], generate_words(source, 400) + f" {n}", max_tokens, is_streamed)
        for n in range(count)
    ]


class SteadyLoad:
    """Repeat calls in several threads until stopped, and collect their results."""

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
        """Stop after the calls in progress and return all results."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(timeout)
        return self.results

    def _run(self, number: int) -> None:
        while not self._stopped.is_set():
            self.results.append(self._call(number))
