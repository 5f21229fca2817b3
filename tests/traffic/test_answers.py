"""Check which upstream an answer tells something about."""

import pytest

from turmericproxy.core.ids import InstanceId
from turmericproxy.edge import AnswerHead, Headers
from turmericproxy.traffic.requests import ParsedAnswer, Verdict

HEAD = AnswerHead(421, Headers())


# Guards against requests that expect weights which an engine doesn't have, and against hosts that
# take all engines for outdated: the versions in a refusal by another server at a reused address
# were recorded for the engine that had been there.
@pytest.mark.parametrize(
    ("verdict", "instance", "is_from"),
    [
        (Verdict.SUCCESS, None, True),
        (Verdict.FAILURE, None, True),
        (Verdict.NOT_RUN, None, True),
        (Verdict.WRONG_INSTANCE, "e1", True),
        (Verdict.WRONG_INSTANCE, "other", False),
        (Verdict.WRONG_INSTANCE, None, False),
        (Verdict.FOREIGN, "e1", False),
    ],
)
def test_answer_is_from_an_upstream_unless_it_says_otherwise(
    verdict: Verdict, instance: str | None, is_from: bool
) -> None:
    answer = ParsedAnswer(verdict, HEAD, instance, version=9)
    assert answer.is_from(InstanceId("e1")) is is_from
