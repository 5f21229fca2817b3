"""Command that shows where a host would send a request now, and why, without sending it."""

import json
from typing import Annotated, Any

import typer

from turmericproxy.cli.client import ADDRESS, Failure, decode_refusal, exit_with_failure
from turmericproxy.cli.exits import ExitCode
from turmericproxy.explaining.questions import EXPLAIN_PATH
from turmericproxy.web import CallFailure, HttpClient

READ_TIMEOUT_SECONDS = 5.0

# Terms of a candidate in the order in which they are printed; those without a value are left out.
_TERMS = (
    ("expected", "expected_seconds"),
    ("score", "score_seconds"),
    ("queue", "queue_seconds"),
    ("prefill", "prefill_seconds"),
    ("memory", "memory_seconds"),
    ("other", "other_seconds"),
    ("pause_cost", "pause_cost_seconds"),
    ("call", "call_seconds"),
    ("cached_tokens", "cached_tokens"),
    ("fetched_tokens", "fetched_tokens"),
    ("fetch_from", "fetch_from"),
    ("requests", "requests"),
    ("slots", "slots"),
    ("queued_tokens", "queued_tokens"),
    ("reserved_tokens", "reserved_tokens"),
    ("slowdown", "slowdown"),
    ("reported_slowdown", "reported_slowdown"),
    ("failures", "failure_share"),
    ("weights", "weights_version"),
    ("software", "software"),
    ("domain", "domain"),
    ("limit", "limit"),
)


def explain_placement(
    host: Annotated[str, typer.Argument(help="Host of the request, which selects the route.")],
    path: Annotated[str, typer.Argument(help="Path of the request, which selects the route.")],
    metrics: Annotated[
        str,
        typer.Option(envvar="TURMERICPROXY_METRICS", help="Address of a host's metrics, IP:PORT."),
    ],
    account: Annotated[str | None, typer.Option(help="Name of the client account.")] = None,
    key: Annotated[
        str | None,
        typer.Option(
            envvar="TURMERICPROXY_CALLER_KEY",
            help="Key of the caller; prefer --account, or the environment variable.",
        ),
    ] = None,
    model: Annotated[str | None, typer.Option(help="Model, for a prompt.")] = None,
    part: Annotated[
        list[str] | None, typer.Option(help="Part of the prompt, ID:TOKENS; may be repeated.")
    ] = None,
    prompt_tokens: Annotated[
        int | None, typer.Option(help="Tokens of the prompt; by default those of its parts.")
    ] = None,
    output_tokens: Annotated[int | None, typer.Option(help="Tokens of the answer.")] = None,
    priority: Annotated[
        int | None, typer.Option(help="Priority in place of that of the account or route.")
    ] = None,
    deadline: Annotated[float | None, typer.Option(help="Seconds until the deadline.")] = None,
    request_id: Annotated[
        str | None, typer.Option(help="Request id; it selects the service of a divided route.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print the answer as JSON.")] = False,
) -> None:
    """Show where a request would go now and why, without sending it."""
    if not ADDRESS.fullmatch(metrics):
        exit_with_failure(Failure(ExitCode.USAGE, "--metrics must be an address IP:PORT"))
    question = {
        "host": host,
        "path": path,
        "account": account,
        # A key in the environment gives way to an account that is named.
        "key": None if account else key,
        "model": model,
        "parts": part,
        "prompt_tokens": prompt_tokens,
        "output_tokens": output_tokens,
        "priority": priority,
        "deadline_seconds": deadline,
        "request_id": request_id,
    }
    explanation = _ask(metrics, {n: value for n, value in question.items() if value is not None})
    if as_json:
        typer.echo(json.dumps(explanation, indent=2))
        return
    for line in format_explanation(explanation):
        typer.echo(line)


def _ask(address: str, question: dict[str, object]) -> Any:
    client = HttpClient(address, read_timeout=READ_TIMEOUT_SECONDS)
    answer = client.call_json("POST", EXPLAIN_PATH, question, fresh=True)
    if isinstance(answer, CallFailure):
        message = f"no answer from {address}: {answer.reason}"
        exit_with_failure(Failure(ExitCode.UNREACHABLE, message))
    status, body = answer
    if status != 200:
        exit_with_failure(decode_refusal(status, body))
    return body


def format_explanation(explanation: dict[str, Any]) -> list[str]:
    """Return the lines that show an explanation to people."""
    lines = [_format_decision(explanation["decision"])]
    if request := explanation["request"]:
        lines.append("request: " + _format_terms(request))
    lines += [_format_candidate(c) for c in explanation["candidates"]]
    lines += [f"excluded {e['upstream']}: {e['reason']}" for e in explanation["excluded"]]
    for name in ("quota", "release", "configuration"):
        if explanation[name]:
            lines.append(f"{name}: " + _format_terms(explanation[name]))
    state = "draining" if explanation["is_draining"] else "serving"
    lines.append(f"host {explanation['host']}: {state}")
    lines += [f"log: {_format_line(line)}" for line in explanation["log"]]
    return lines


def _format_decision(decision: dict[str, Any]) -> str:
    refusal = decision.get("refusal")
    if refusal is None:
        return f"would go to {decision['upstream']}: " + _format_terms(
            {name: value for name, value in decision.items() if name != "upstream"}
        )
    after = refusal["retry_after"]
    suffix = "" if after is None else f", retry after {after:g} s"
    return f"would be refused: {refusal['name']} ({refusal['code']}): {refusal['reason']}{suffix}"


def _format_candidate(candidate: dict[str, Any]) -> str:
    terms = {label: candidate.get(name) for label, name in _TERMS}
    head = "chosen" if candidate["is_chosen"] else "candidate"
    if reason := candidate["passed_over"]:
        head += f" (passed over: {reason})"
    return f"{head} {candidate['upstream']}: " + _format_terms(terms)


def _format_line(line: dict[str, Any]) -> str:
    terms = {name: value for name, value in line.items() if name not in ("message", "request_id")}
    return f"{line['message']} " + _format_terms(terms)


def _format_terms(terms: dict[str, Any]) -> str:
    return " ".join(
        f"{name}={json.dumps(value) if isinstance(value, dict | list) else value}"
        for name, value in terms.items()
        if value is not None and value != ""
    )
