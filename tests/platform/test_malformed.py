"""Check by seeded mutation that malformed messages of the platform end no task of a host.

Rows may come from other writers, servers hand out wrong bytes, and clients send what they like.
Each decoder returns a result, a refusal or the errors that its caller expects.
"""

import copy
import json
import random
from collections.abc import Callable

import pytest

from tests.platform.support import CONFIGURATION, REGISTRATION
from turmericproxy.core.documents import decode_json
from turmericproxy.edge import AnswerHead, ClientRequest, Headers
from turmericproxy.host.directory import _read_hello
from turmericproxy.platform import names
from turmericproxy.platform.cache_events import read_page
from turmericproxy.platform.codec import PlatformCodec
from turmericproxy.platform.registrations import read_report, read_upstream_row
from turmericproxy.platform.site import read_configuration_row
from turmericproxy.platform.store import _decode_object, _read_rows
from turmericproxy.releases.decider import read_row
from turmericproxy.rollout.lease_manager import _read_lease
from turmericproxy.tables.messages import Row
from turmericproxy.traffic.requests import Dispatch

MUTATIONS = 2000
ODD_VALUES = [None, -1, 1e308, 2**70, "", "x" * 300, [], {}, [[]], [None], True, {"a": []}, "\x00"]
REPORT = {"models": [{"name": "m", "version": 1}], "busy": False, "sequence": 2, "born": 5}
PAGE = {"epoch": 1, "next": 2, "lost": False, "events": [[1, "+", "s", "p", 10, "m"]]}
ROWS = {"rows": [{"table": "t", "part": "", "key": "k", "value": "eA==", "row_version": 3}]}
NESTED = b"[" * 5000
EXPECTED = (ValueError, KeyError, TypeError)


def mutate(value: object, source: random.Random) -> object:
    """Replace or remove one value somewhere in a JSON value."""
    if isinstance(value, list) and value and source.random() < 0.9:
        index = source.randrange(len(value))
        return [*value[:index], mutate(value[index], source), *value[index + 1 :]]
    if isinstance(value, dict) and value and source.random() < 0.9:
        key = source.choice(list(value))
        if source.random() < 0.2:
            return {k: v for k, v in value.items() if k != key}
        return {**value, key: mutate(value[key], source)}
    return source.choice(ODD_VALUES)


def encode(value: object, source: random.Random) -> bytes:
    data = bytearray(json.dumps(value).encode())
    if source.random() < 0.3:
        data[source.randrange(len(data))] = source.randrange(256)
    return bytes(data)


DECODERS: dict[str, tuple[object, Callable[[bytes], object]]] = {
    "configuration": (
        CONFIGURATION,
        lambda data: read_configuration_row(Row(names.CONFIGURATION_KEY, data, 1)),
    ),
    "version": (
        {"model": "m", "version": 2},
        lambda data: read_configuration_row(Row(names.MODEL_VERSION_KEY_PREFIX + "m", data, 1)),
    ),
    "order": (
        {"service": "s", "to": "v2", "duration_s": 60},
        lambda data: read_configuration_row(Row(names.RELEASE_KEY_PREFIX + "s", data, 1)),
    ),
    "release state": (
        ["s", "v2", 3, 60.0, "stepping", 1, 0.05, 1.0, 2.0, "", [], ["v1"]],
        lambda data: read_row(Row("s", data, 1)),
    ),
    "registration": (REGISTRATION, lambda data: read_upstream_row(Row("i", data, 1))),
    "host": (["10.0.0.1:1", "a", 100], lambda data: _read_hello(Row("h", data, 1))),
    "lease": (["h", 3, 4.5, 1], lambda data: _read_lease(Row("weights", data, 1))),
    "rows": (ROWS, lambda data: _read_rows(_decode_object(data))),
}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", DECODERS)
def test_row_is_decoded_or_ignored(name: str, seed: int) -> None:
    sample, decode = DECODERS[name]
    source = random.Random(seed)
    for _ in range(MUTATIONS):
        decode(encode(mutate(copy.deepcopy(sample), source), source))


@pytest.mark.parametrize("name", DECODERS)
def test_rows_nested_too_deeply_are_decoded_or_ignored(name: str) -> None:
    _, decode = DECODERS[name]
    decode(NESTED)


@pytest.mark.parametrize("read", [read_report, decode_json])
def test_answers_nested_too_deeply_raise_only_the_expected_errors(
    read: Callable[[bytes], object],
) -> None:
    with pytest.raises(EXPECTED):
        read(NESTED)


@pytest.mark.parametrize("seed", [1, 2])
def test_report_and_cache_events_raise_only_the_expected_errors(seed: int) -> None:
    source = random.Random(seed)
    for _ in range(MUTATIONS):
        for read in (
            lambda: read_report(encode(mutate(REPORT, source), source)),
            lambda: read_page(json.loads(encode(mutate(PAGE, source), source))),
        ):
            try:
                read()
            except EXPECTED:
                continue


FIELDS = {
    names.REQUEST_ID: "r1",
    names.DEADLINE_MS: "1000",
    names.MODEL: "m",
    names.TOKEN_COUNTS: "60,5",
    names.PROMPT_PARTS: "aa:20,bb:20,cc:20",
    names.RESUME_AFTER: "4",
    names.SIGNATURE: "s",
    names.INSTANCE: "i",
    names.VERSIONS: "3",
    names.RETRY_AFTER: "0.5",
    names.LEAVING: "1",
    "Authorization": "Bearer k",
    "Host": "a:80",
    "Content-Type": "text/plain",
}
ODD_TEXTS = ["", ",", ":", "-1", "1e999", "nan", "9" * 400, "\xff", "a:b:c", "²", "1,2,3", "0x1"]


@pytest.mark.parametrize("seed", [1, 2])
def test_header_fields_are_decoded_or_refused(seed: int) -> None:
    source, codec = random.Random(seed), PlatformCodec()
    for _ in range(MUTATIONS):
        fields = {**FIELDS, source.choice(list(FIELDS)): source.choice(ODD_TEXTS)}
        raw = ClientRequest("POST", "/x", Headers(fields.items()), b"", 0.0)
        codec.read_request(raw)
        parsed = codec.read_request(ClientRequest("POST", "/x", Headers(FIELDS.items()), b"", 0.0))
        status = source.choice([200, 204, 421, 500, 503, 599])
        head = AnswerHead(status, Headers(fields.items()))
        codec.read_answer(parsed, Dispatch("i", 1.0, None, 0), head)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.0.0.1:70000"},
        {"address": "10.0.0.1:0"},
        {"address": "nowhere:80"},
        {"born": 2**60},
        {"slots": 2**60},
        {"service": "\ud800"},
        {"models": [{"name": "m", "version": 2**60}]},
    ],
)
def test_registration_that_no_host_can_use_is_ignored(change: dict[str, object]) -> None:
    row = Row("i", json.dumps({**REGISTRATION, **change}).encode(), 1)
    assert read_upstream_row(row) is None


# Peers learn the epoch and evicted parts; a message with such values could not be packed.
@pytest.mark.parametrize(
    "change",
    [{"epoch": 2**70}, {"next": -1}, {"events": [[1, "-", "s", "\ud800", 10, "m"]]}],
)
def test_cache_events_that_no_message_can_hold_are_refused(change: dict[str, object]) -> None:
    with pytest.raises(EXPECTED):
        read_page({**PAGE, **change})
