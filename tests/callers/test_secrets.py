"""Check that callers' keys are not forwarded to upstreams."""

from urllib.parse import quote

from hypothesis import given
from hypothesis import strategies as st

from turmericproxy.callers.calls import ChatCall, PlainCall
from turmericproxy.callers.secrets import check_key_exposure, select_headers
from turmericproxy.configuration import Route
from turmericproxy.core import ModelName, Refusal, ResultCode, RouteName

KEY = "tp/key+1234"
ROUTE = Route(name="visits", upstreams=("booking-1",))


def create_call(path: str, body: bytes) -> PlainCall:
    return PlainCall(RouteName("visits"), ROUTE, "POST", path, (), body, None)


@given(st.dictionaries(st.sampled_from(["x-a", "x-b", "accept", "cookie"]), st.text(max_size=9)))
def test_headers_that_contain_the_key_are_not_forwarded(headers: dict[str, str]) -> None:
    received = {**headers, "x-copy": f"token {KEY}", "x-quoted": quote(KEY, safe="")}
    received["authorization"] = f"Bearer {KEY}"
    forwarded = select_headers(received.items(), KEY)
    assert not any(KEY in value for value in forwarded.values())
    assert not {"x-copy", "x-quoted", "authorization", "cookie"} & forwarded.keys()


def create_chat(prompt: str) -> ChatCall:
    return ChatCall(ModelName("verdict"), "1", (), prompt, 1, 1, False)


def test_path_body_or_prompt_that_contains_the_key_is_refused() -> None:
    escaped = "".join(f"\\u{ord(character):04x}" for character in KEY)
    for call in (
        create_call(f"/a?key={quote(KEY, safe='')}", b""),
        create_call("/a", KEY.encode()),
        create_call("/a", f'{{"note": "{escaped}"}}'.encode()),
        create_call("/a", f"note={quote(KEY, safe='')}".encode()),
        create_chat(f"user:note {KEY}\n"),
    ):
        refusal = check_key_exposure(call, KEY)
        assert isinstance(refusal, Refusal) and refusal.code is ResultCode.KEY_IN_REQUEST
    assert check_key_exposure(create_call("/a", b"body"), KEY) is None
    assert check_key_exposure(create_chat("user:note\n"), KEY) is None
