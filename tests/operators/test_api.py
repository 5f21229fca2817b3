"""Check the operator API and the command line against running hosts."""

import json
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from tests.hosts import Fleet, run_fleet, wait_until
from turmericproxy.cli.app import app
from turmericproxy.cli.exits import ExitCode
from turmericproxy.keys import compute_digest
from turmericproxy.operators import create_operator_server
from turmericproxy.operators.api import MAX_WATCHERS, OPERATOR_THREADS
from turmericproxy.settings.schema import HostSettings, ListenSettings, PlatformSettings
from turmericproxy.web import HttpClient, HttpServer

OPERATOR_KEY = "an-operator-key"
ACCOUNT = {"rate": 10.0, "burst": 100}


@dataclass(frozen=True)
class Bucket:
    """Represent the state of another component."""

    account: str
    tokens: int


@dataclass
class OperatorClient:
    """Call the operator API of one host, directly or through the command line."""

    fleet: Fleet
    server: HttpServer

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.port}"

    def call(
        self, method: str, path: str, value: object = None, key: str = OPERATOR_KEY, **headers: str
    ) -> tuple[int, Any]:
        sent = {name.replace("_", "-"): text for name, text in headers.items()}
        sent["Authorization"] = f"Bearer {key}"
        answer = HttpClient(self.address).call_json(method, path, value, headers=sent, fresh=True)
        assert isinstance(answer, tuple), answer
        return answer

    def put(self, path: str, value: object, **headers: str) -> tuple[int, Any]:
        return self.call("PUT", f"/v1/resources/{path}", value, **headers)

    def run(self, *arguments: str, key: str = OPERATOR_KEY) -> tuple[int, str]:
        environment = {
            "TURMERICPROXY_OPERATORS": self.address,
            "TURMERICPROXY_OPERATOR_KEY": key,
        }
        result = CliRunner().invoke(app, list(arguments), env=environment)
        assert OPERATOR_KEY not in result.output
        return result.exit_code, result.output


@pytest.fixture(scope="module")
def shared_client() -> Iterator[OperatorClient]:
    with run_fleet(2) as fleet:
        host = fleet.hosts[0]
        listen = ListenSettings(callers="127.0.0.1:0", operators="127.0.0.1:0", peers="127.0.0.1:0")
        settings = HostSettings(
            host=host.name,
            domain="d1",
            listen=listen,
            platform=PlatformSettings(address=fleet.address),
            operator_key_digests=(compute_digest(OPERATOR_KEY),),
        )
        sources = {"buckets": lambda: (Bucket("a", 1),)}
        server = create_operator_server(
            settings, host.configuration, host.keys, sources, lambda: "requests_total 1\n"
        )
        server.start()
        yield OperatorClient(fleet, server)
        server.close()


@pytest.fixture
def client(shared_client: OperatorClient) -> Iterator[OperatorClient]:
    yield shared_client
    shared_client.fleet.reset()


def test_changes_with_a_stale_version_are_refused(client: OperatorClient) -> None:
    status, body = client.put("account/v", ACCOUNT, If_None_Match="*")
    first = body["revision"]
    assert status == 200
    assert client.put("account/v", ACCOUNT, If_None_Match="*")[0] == 409
    assert client.put("account/v", {**ACCOUNT, "rate": 20}, If_Match=f'"{first}"')[0] == 200
    status, body = client.put("account/v", {**ACCOUNT, "rate": 30}, If_Match=f'"{first}"')
    assert (status, body["error"]["name"]) == (409, "resource_conflict")
    assert client.put("account/v", ACCOUNT, If_Match="x")[0] == 400
    shown = client.call("GET", "/v1/resources/account/v")[1]
    assert (shown["rate"], shown["revision"]) == (20.0, first + 1)


def test_every_fault_is_reported_with_its_field(client: OperatorClient) -> None:
    status, body = client.put("account/a", {"rate": -1, "speed": 3})
    assert status == 422
    assert {fault["field"] for fault in body["error"]["faults"]} == {"rate", "burst", "speed"}
    route = {"upstreams": ["gone"], "accounts": ["nobody"]}
    status, body = client.put("route/r", route)
    assert {fault["field"] for fault in body["error"]["faults"]} == {"upstreams", "accounts"}
    assert client.put("account/a", {**ACCOUNT, "name": "b"})[0] == 422
    assert client.put("account/A_B", ACCOUNT)[0] == 422
    assert client.put("planet/a", ACCOUNT)[0] == 404
    status, body = client.call("POST", "/v1/keys", {"account": "nobody", "name": "k"})
    assert (status, body["error"]["faults"][0]["field"]) == (422, "account")
    assert client.call("POST", "/v1/keys", {"account": 3, "more": 1})[0] == 422


def test_resource_in_use_is_not_deleted(client: OperatorClient) -> None:
    client.put("account/a", ACCOUNT)
    assert client.call("POST", "/v1/keys", {"account": "a", "name": "k"})[0] == 201
    status, body = client.call("DELETE", "/v1/resources/account/a")
    assert (status, body["error"]["name"]) == (409, "resource_in_use")
    assert client.call("DELETE", "/v1/resources/account/gone")[0] == 404


def test_only_operator_keys_are_accepted(client: OperatorClient) -> None:
    client.put("account/a", ACCOUNT)
    created = client.call("POST", "/v1/keys", {"account": "a", "name": "k"})[1]
    for key in (created["secret"], "", "wrong"):
        for path in ("/v1/status", "/v1/resources/key", "/metrics", "/v1/watch"):
            assert client.call("GET", path, key=key)[0] == 401
    digest = compute_digest(created["secret"])
    assert (
        client.call("PUT", "/v1/resources/key/twin", {"account": "a", "digest": digest})[0] == 422
    )


def test_watch_waits_for_the_next_change(client: OperatorClient) -> None:
    since = client.put("account/a", ACCOUNT)[1]["revision"]
    answers: list[Any] = []
    waiter = threading.Thread(
        target=lambda: answers.append(client.call("GET", f"/v1/watch?since={since}&wait=5"))
    )
    waiter.start()
    client.put("account/b", ACCOUNT)
    waiter.join(timeout=6)
    status, body = answers[0]
    assert (status, body["revision"], body["changes"][0]["name"]) == (200, since + 1, "b")
    assert client.call("GET", "/v1/watch?since=-1")[0] == 400
    empty = {"revision": 99, "changes": []}
    assert client.call("GET", "/v1/watch?since=99&wait=0")[1] == empty


def test_watch_requests_leave_threads_for_other_requests(client: OperatorClient) -> None:
    since = client.put("account/a", ACCOUNT)[1]["revision"]
    with ThreadPoolExecutor(OPERATOR_THREADS + 2) as pool:
        path = f"/v1/watch?since={since}&wait=10"
        waiting = [pool.submit(client.call, "GET", path) for _ in range(OPERATOR_THREADS + 2)]
        refused = len(waiting) - MAX_WATCHERS
        wait_until(lambda: sum(future.done() for future in waiting) == refused)
        assert client.call("GET", "/v1/status")[0] == 200
        assert client.put("account/b", ACCOUNT)[0] == 200
        statuses = [future.result()[0] for future in waiting]
    assert statuses.count(200) == MAX_WATCHERS and set(statuses) == {200, 503}


def test_commands_apply_get_and_delete_resources(client: OperatorClient, tmp_path: Path) -> None:
    before = client.fleet.revision
    file = tmp_path / "resources.yaml"
    file.write_text(
        "kind: account\nname: c\nrate: 10\nburst: 100\n---\nkind: model\nname: m\nversion: '1'\n"
    )
    code, output = client.run("apply", str(file), "--wait")
    assert code == 0 and f"revision {before + 2} in force on 2 of 2 hosts" in output
    assert f"account/c: unchanged at revision {before + 1}" in client.run("apply", str(file))[1]
    shown = f"kind: model\nname: m\nrevision: {before + 2}\nversion: '1'\n"
    assert client.run("get", "model", "m") == (0, shown)
    code, output = client.run("keys", "create", "c", "--name", "phone")
    key_id = output.splitlines()[0].removeprefix("id: ")
    assert code == 0 and client.run("delete", "account", "c")[0] == ExitCode.CONFLICT
    code, output = client.run("keys", "withdraw", key_id)
    assert (code, output) == (0, f"{key_id}: withdrawn, written down\n")
    assert client.run("delete", "account", "c", "--wait")[0] == 0
    code, output = client.run("watch", "--since", str(before), "--count", "5")
    revisions = [json.loads(line)["revision"] for line in output.splitlines()]
    assert revisions == list(range(before + 1, before + 6))
    code, output = client.run("status")
    assert f"revision {before + 5}" in output
    assert 'buckets: [{"account": "a", "tokens": 1}]' in output


def test_commands_report_failures_by_exit_code(client: OperatorClient, tmp_path: Path) -> None:
    file = tmp_path / "resources.yaml"
    file.write_text("kind: account\nname: a\nrate: -1\n---\nkind: planet\n--- 3\n")
    code, output = client.run("apply", str(file))
    assert code == ExitCode.INVALID
    for part in ("document 1: rate", "document 1: burst", "document 2: kind", "document 3"):
        assert part in output
    assert client.run("get", "model", "gone")[0] == ExitCode.NOT_FOUND
    assert client.run("status", key="wrong")[0] == ExitCode.KEY_REFUSED
    client.fleet.set_faults(down=True)
    file.write_text("kind: account\nname: new\nrate: 1\nburst: 1\n")
    assert client.run("apply", str(file))[0] == ExitCode.UNREACHABLE
    settings = tmp_path / "host.yaml"
    settings.write_text("host: h1\nlisten: {callers: nowhere}\n")
    code, output = client.run("check", "--settings", str(settings))
    assert code == ExitCode.INVALID and "listen.callers" in output and "domain" in output
