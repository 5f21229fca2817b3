"""Check that the result of a request and its cause are found in recorded log lines."""

from pathlib import Path

import pytest
from typer.testing import CliRunner

from turmericproxy.cli.app import app
from turmericproxy.logs.explaining import RequestResult, explain_request, read_lines

# Log lines of hosts in runs on the platform's test bench, shortened to the relevant fields.
RECORDED = """\
   7.599 edge-a-3 {"asctime": "2026-02-16 12:21:31,599", "levelname": "INFO", "message": \
"routing: engine chosen", "host": "edge-a-3", "decision": true, "request_id": "7be8f9af", \
"engine": "i-4191", "version": 2, "expected": 0.03}
   7.605 edge-a-3 {"asctime": "2026-02-16 12:21:31,605", "levelname": "INFO", "message": \
"callers: attempt ended", "host": "edge-a-3", "decision": true, "request_id": "7be8f9af", \
"upstream": "i-4191", "outcome": "wrong_instance", "status": 421, "reason": "answer of i-77", \
"tries": 1, "runs": 0, "step": "give_up"}
   7.606 edge-a-3 {"asctime": "2026-02-16 12:21:31,606", "levelname": "INFO", "message": \
"callers: refused", "host": "edge-a-3", "decision": true, "request_id": "7be8f9af", "code": 302, \
"reason": "answer of i-77", "run": "not_run", "retry_after": 0.5, "stream_started": false}
{"asctime": "2026-02-16 12:21:33,001", "message": "callers: refused", "host": "edge-b-1", \
"request_id": "5da99f54", "code": 402, "reason": "no answer within the time limit of r-x", \
"run": "unknown", "retry_after": null, "stream_started": false}
{"asctime": "2026-02-16 12:21:32,700", "message": "callers: attempt ended", "host": "edge-b-2", \
"request_id": "23661ec6", "upstream": "i-97ba", "outcome": "broken", "status": 200, "reason": \
"connection closed", "tries": 1, "runs": 1, "step": "give_up"}
{"asctime": "2026-02-16 12:21:32,701", "message": "callers: refused", "host": "edge-b-2", \
"request_id": "23661ec6", "code": 403, "reason": "connection closed", "run": "unknown", \
"retry_after": null, "stream_started": true}
{"asctime": "2026-02-16 12:21:33,100", "message": "callers: attempt ended", "host": "edge-b-2", \
"request_id": "0abc", "upstream": "i-5", "outcome": "answered", "status": 200, "reason": "", \
"tries": 1, "runs": 1, "step": "answer"}
{"asctime": "2026-02-16 12:21:33,200", "message": "routing: engine chosen", "host": "edge-b-2", \
"request_id": "left"}
{"asctime": "torn", "request_id": "0abc
""".splitlines()


@pytest.mark.parametrize(
    ("request_id", "expected", "cause"),
    [
        (
            "7be8f9af",
            RequestResult.REFUSED,
            "result 302 (overloaded): answer of i-77; attempt 1 at i-4191",
        ),
        ("5da99f54", RequestResult.MAY_HAVE_RUN, "result 402 (upstream_timeout): no answer within"),
        ("23661ec6", RequestResult.INTERRUPTED, "attempt 1 at i-97ba: broken, connection closed"),
        ("0abc", RequestResult.ANSWERED, "status 200 of i-5"),
        ("left", RequestResult.UNKNOWN, "the client disconnected"),
    ],
)
def test_result_and_cause_are_found(request_id: str, expected: RequestResult, cause: str) -> None:
    explanation = explain_request(read_lines(RECORDED, request_id))
    assert explanation.result is expected
    assert cause in explanation.cause


def test_explain_command_prints_decisions_in_order(tmp_path: Path) -> None:
    path = tmp_path / "host.log"
    path.write_text("\n".join(RECORDED))
    result = CliRunner().invoke(app, ["explain", "7be8f9af", str(path)])
    assert result.exit_code == 0
    chosen, ended, refused = (result.output.index(w) for w in ("chosen", "ended", "refused"))
    assert chosen < ended < refused
    assert CliRunner().invoke(app, ["explain", "none", str(path)]).exit_code != 0
    assert CliRunner().invoke(app, ["explain", "none", str(tmp_path / "missing")]).exit_code != 0


# Lines of three hosts in a test in which engines ended on one part, shortened.
BLOCKED = """\
{"asctime": "2026-12-04 18:30:01,100", "message": "routing: engine ended", "host": "h1", \
"engine": "x2-0", "broken": 3, "begun_requests": ["q2-1"]}
{"asctime": "2026-12-04 18:30:01,300", "message": "routing: engine ended", "host": "h2", \
"engine": "x5-0", "broken": 1, "begun_requests": ["q2-2"]}
{"asctime": "2026-12-04 18:30:01,350", "message": "routing: engine ended", "host": "h2", \
"engine": "x7-0", "broken": 1, "begun_requests": []}
{"asctime": "2026-12-04 18:30:01,400", "message": "routing: part blocked", "host": "h0", "block": \
"m/aa+bad", "source": "evidence", "engines": ["x2-0", "x5-0"], "requests": ["q2-1", "q2-2"]}
{"asctime": "2026-12-04 18:30:01,500", "message": "routing: part blocked", "host": "h0", "block": \
"m/bad", "source": "narrowed", "previous": "m/aa+bad"}
{"asctime": "2026-12-04 18:30:02,000", "message": "routing: prompt refused", "host": "h0", \
"request_id": "q2-9", "block": "m/bad"}
{"asctime": "2026-12-04 18:30:02,001", "message": "callers: refused", "host": "h0", "request_id": \
"q2-9", "code": 305, "reason": "engines have ended on prompts with m/bad", "run": "not_run", \
"retry_after": 599.0, "stream_started": false}
""".splitlines()


def test_refused_prompt_leads_to_the_ends_that_blocked_its_part(tmp_path: Path) -> None:
    file = tmp_path / "hosts.log"
    file.write_text("\n".join(BLOCKED))
    result = CliRunner().invoke(app, ["explain", "q2-9", str(file)])
    assert result.exit_code == 0
    for told in ("x2-0", "x5-0", "q2-1", "q2-2", "m/aa+bad", "refused; it has not run"):
        assert told in result.stdout
    assert "x7-0" not in result.stdout
