"""Check that no caller's key is passed on."""

from urllib.parse import quote

from hypothesis import given
from hypothesis import strategies as st

from turmericproxy.callers.calls import ChatCall, PlainCall
from turmericproxy.callers.secrets import check_secrecy, select_headers
from turmericproxy.configuration import Route
from turmericproxy.core import ModelName, Refusal, ResultCode, RouteName

KEY = "tp/key+1234"
ROUTE = Route(name="visits", upstreams=("booking-1",))


def create_call(path: str, body: bytes) -> PlainCall:
    return PlainCall(RouteName("visits"), ROUTE, "POST", path, (), body, None)


@given(st.dictionaries(st.sampled_from(["x-a", "x-b", "accept", "cookie"]), st.text(max_size=9)))
def test_a_header_that_holds_the_key_is_left_out(headers: dict[str, str]) -> None:
    held = {**headers, "x-copy": f"token {KEY}", "x-quoted": quote(KEY, safe="")}
    held["authorization"] = f"Bearer {KEY}"
    passed = select_headers(held.items(), KEY)
    assert not any(KEY in value for value in passed.values())
    assert not {"x-copy", "x-quoted", "authorization", "cookie"} & passed.keys()


def create_chat(prompt: str) -> ChatCall:
    return ChatCall(ModelName("verdict"), "1", (), prompt, 1, 1, False)


def test_a_path_or_body_or_prompt_that_holds_the_key_is_refused() -> None:
    escaped = "".join(f"\\u{ord(character):04x}" for character in KEY)
    for call in (
        create_call(f"/a?key={quote(KEY, safe='')}", b""),
        create_call("/a", KEY.encode()),
        create_call("/a", f'{{"note": "{escaped}"}}'.encode()),
        create_call("/a", f"note={quote(KEY, safe='')}".encode()),
        create_chat(f"user:note {KEY}\n"),
    ):
        refusal = check_secrecy(call, KEY)
        assert isinstance(refusal, Refusal) and refusal.code is ResultCode.KEY_IN_REQUEST
    assert check_secrecy(create_call("/a", b"body"), KEY) is None
    assert check_secrecy(create_chat("user:note\n"), KEY) is None
