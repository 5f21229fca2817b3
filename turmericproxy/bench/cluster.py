"""Start a local cluster of real processes on loopback addresses."""

import contextlib
import secrets
import shutil
import signal
import tempfile
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import yaml

from turmericproxy.bench.layout import (
    build_platform_command,
    build_service_command,
    create_layout,
)
from turmericproxy.bench.plan import ClusterPlan
from turmericproxy.bench.processes import ManagedProcess
from turmericproxy.bench.relay import Relay
from turmericproxy.keys.secrets import compute_digest
from turmericproxy.web import CallFailure, HttpClient

READY_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05
CALL_TIMEOUT_SECONDS = 5.0
MIN_CLAIMED_BURST_SHARE = 0.9


class ClusterError(Exception):
    """Report a process that failed to start or to answer, or a condition that was not met."""


class Cluster:
    """Manage the processes of a cluster, its folder and its relay."""

    def __init__(self, plan: ClusterPlan, folder: Path, operator_key: str) -> None:
        self.plan = plan
        self.folder = folder
        self.operator_key = operator_key
        self.keys: dict[str, str] = {}
        self.key_ids: dict[str, str] = {}
        self.layout = create_layout(plan)
        self._processes = self._create_processes()

    @property
    def relay(self) -> Relay:
        """Return the relay; raise if the plan has ``relays`` unset."""
        if self.layout.relay is None:
            raise ClusterError("the plan has no relays")
        return self.layout.relay

    @property
    def host_names(self) -> tuple[str, ...]:
        """Return the names of the hosts in the order of the plan."""
        return tuple(host.name for host in self.plan.hosts)

    def get_address(self, name: str, listener: str = "") -> str:
        """Return the address of a listener.

        Hosts have the listeners ``callers``, ``operators`` and ``peers``; others have one.
        """
        return self.layout.get_address(f"{name}.{listener}" if listener else name)

    def get_process(self, name: str) -> ManagedProcess:
        """Return the process of that name."""
        return self._processes[name]

    def start(self) -> None:
        """Start every process, wait until the hosts are ready, and create the resources."""
        stand_ins = [p for name, p in self._processes.items() if name not in self.host_names]
        for process in stand_ins:
            process.start()
        for process in stand_ins:
            self._await_answer(
                process.name, "/control" if process.name != "platform" else "/healthz"
            )
        self.set_host_list()
        for name in self.host_names:
            self._processes[name].start()
        for name in self.host_names:
            self.await_ready(name)
        self._seed_resources()

    def close(self) -> None:
        """Stop the processes that the cluster started, and delete its folder."""
        for process in self._processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        for process in self._processes.values():
            process.close()
        self.layout.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def kill_host(self, name: str) -> None:
        """Kill a host with SIGKILL."""
        self._processes[name].send(signal.SIGKILL)
        self._processes[name].wait(CALL_TIMEOUT_SECONDS)

    def pause_host(self, name: str) -> None:
        """Pause a host with SIGSTOP."""
        self._processes[name].send(signal.SIGSTOP)

    def resume_host(self, name: str) -> None:
        """Resume a paused host with SIGCONT."""
        self._processes[name].send(signal.SIGCONT)

    def stop_host(self, name: str) -> None:
        """Send SIGTERM so that a host drains and stops; return at once."""
        self._processes[name].send(signal.SIGTERM)

    def start_host(self, name: str, wait: bool = True) -> None:
        """Start a host again; with ``wait``, return when it is ready."""
        self._processes[name].start()
        if wait:
            self.await_ready(name)

    def await_ready(self, name: str, timeout: float = READY_TIMEOUT_SECONDS) -> None:
        """Wait until the readiness check of a host succeeds."""
        self._await_answer(name, "/readyz", self.get_address(name, "callers"), timeout)

    def set_host_list(self, leaving: tuple[str, ...] = ()) -> None:
        """Set the platform's host list; the hosts in ``leaving`` get the state "leaving"."""
        hosts = {"hosts": self.layout.describe_hosts(leaving)}
        self.call("platform", "PUT", "/control/hosts", hosts)

    def set_faults(self, name: str, **faults: object) -> None:
        """Set faults of a stand-in through its control endpoint."""
        self.call(name, "POST", "/control", faults)

    def await_restart(self, engine: str, previous_incarnation: str) -> None:
        """Wait until an engine has an incarnation other than ``previous_incarnation``."""
        self.await_condition(
            f"restart of {engine}",
            lambda: self._read_incarnation(engine) not in ("", previous_incarnation),
        )

    def _read_incarnation(self, engine: str) -> str:
        try:
            return str(self.call(engine, "GET", "/v1/load")["incarnation"])
        except ClusterError:
            return ""

    def read_standin_state(self, name: str) -> Any:
        """Return the state of an engine stand-in, or the requests that a service stand-in ran."""
        is_service = name in {service.name for service in self.plan.services}
        return self.call(name, "GET", "/control/runs" if is_service else "/control")

    def call_operator_api(self, host: str, method: str, path: str, value: object = None) -> Any:
        """Call the operator API of a host and return the decoded answer."""
        headers = {"Authorization": f"Bearer {self.operator_key}"}
        return self.call(f"{host}.operators", method, path, value, headers)

    def put_resource(self, kind: str, name: str, fields: Mapping[str, Any], host: str = "") -> Any:
        """Create or replace a resource through a host, the first one by default."""
        path = f"/v1/resources/{kind}/{name}"
        return self.call_operator_api(host or self.host_names[0], "PUT", path, dict(fields))

    def set_leaving(self, kind: str, name: str) -> None:
        """Set the state of an engine or upstream to "leaving"."""
        path = f"/v1/resources/{kind}/{name}"
        current = self.call_operator_api(self.host_names[0], "GET", path)
        fields = {k: v for k, v in current.items() if k not in ("kind", "name", "revision")}
        self.put_resource(kind, name, {**fields, "state": "leaving"})

    def create_key(self, account: str, name: str = "caller") -> tuple[str, str]:
        """Create a key of a client account and return its id and its secret."""
        body = {"account": account, "name": name}
        created = self.call_operator_api(self.host_names[0], "POST", "/v1/keys", body)
        return created["id"], created["secret"]

    def call(
        self,
        name: str,
        method: str,
        path: str,
        value: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> Any:
        """Call a process and return the decoded answer; raise ``ClusterError`` on failure."""
        client = HttpClient(self.layout.get_address(name), read_timeout=CALL_TIMEOUT_SECONDS)
        answer = client.call_json(method, path, value, headers=headers, fresh=True)
        if isinstance(answer, CallFailure) or answer[0] >= 300:
            raise ClusterError(f"{method} {path} at {name}: {answer}")
        return answer[1]

    def await_condition(
        self, description: str, is_met: Callable[[], bool], timeout: float = 10.0
    ) -> float:
        """Wait until a condition is met and return the elapsed seconds."""
        started = time.monotonic()
        while not is_met():
            if time.monotonic() - started > timeout:
                raise ClusterError(f"{description}: not met within {timeout} s")
            time.sleep(POLL_INTERVAL_SECONDS)
        return time.monotonic() - started

    def _create_processes(self) -> dict[str, ManagedProcess]:
        plan, layout = self.plan, self.layout
        commands = {"platform": build_platform_command(plan)}
        for engine in plan.engines:
            commands[engine.name] = layout.build_engine_command(engine)
        for service in plan.services:
            commands[service.name] = build_service_command(service)
        for name, command in commands.items():
            commands[name] = ["stand-in", *command, "--address", layout.get_address(name)]
        for host in plan.hosts:
            path = self.folder / f"{host.name}.yaml"
            settings = layout.build_settings(host, compute_digest(self.operator_key))
            path.write_text(yaml.safe_dump(settings), encoding="utf-8")
            commands[host.name] = ["serve", "--settings", str(path)]
        processes = {
            name: ManagedProcess(name, command, self.folder) for name, command in commands.items()
        }
        layout.source_identifier.set_processes(list(processes.values()))
        return processes

    def _await_answer(
        self, name: str, path: str, address: str = "", timeout: float = READY_TIMEOUT_SECONDS
    ) -> None:
        client = HttpClient(address or self.layout.get_address(name), read_timeout=1.0)
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            answer = client.call_json("GET", path, fresh=True)
            if not isinstance(answer, CallFailure) and answer[0] in (200, 204):
                return
            if not self._processes[name].is_running():
                break
            time.sleep(POLL_INTERVAL_SECONDS)
        raise ClusterError(f"{name} is not ready:\n{self._processes[name].read_tail()}")

    def _seed_resources(self) -> None:
        plan = self.plan
        for model, version in plan.list_models().items():
            self.put_resource("model", model, {"version": version})
        for engine in plan.engines:
            self.put_resource("engine", engine.name, self.layout.describe_engine(engine))
        for service in plan.services:
            self.put_resource("upstream", service.name, self.layout.describe_service(service))
        for account in plan.accounts:
            self.put_resource(
                "account", account.name, {"rate": account.rate, "burst": account.burst}
            )
            self.key_ids[account.name], self.keys[account.name] = self.create_key(account.name)
        for route in plan.routes:
            self.put_resource(
                "route", route.name, {"upstreams": list(route.upstreams), **route.fields}
            )
        self._await_revision()

    def read_revision(self, host: str) -> int:
        """Return the configuration revision in force at a host."""
        return int(self.call_operator_api(host, "GET", "/v1/status")["revision"])

    def _await_revision(self) -> None:
        target_revision = self.read_revision(self.host_names[0])
        self.await_condition(
            f"revision {target_revision} in force at every host",
            lambda: all(self.read_revision(name) >= target_revision for name in self.host_names),
        )
        self.await_condition("all buckets claimed", self._are_buckets_claimed)

    def _are_buckets_claimed(self) -> bool:
        depths: dict[str, float] = {}
        for name in self.host_names:
            for bucket in self.call_operator_api(name, "GET", "/v1/status")["buckets"]:
                account = bucket["account"]
                depths[account] = depths.get(account, 0.0) + bucket["depth"]
        return all(
            depths.get(account.name, 0.0) >= MIN_CLAIMED_BURST_SHARE * account.burst
            for account in self.plan.accounts
        )


def start_cluster(plan: ClusterPlan, folder: Path | None = None) -> Cluster:
    """Start a cluster and return it when all hosts are ready and have applied its resources."""
    folder = folder or Path(tempfile.mkdtemp(prefix="turmericproxy-"))
    folder.mkdir(parents=True, exist_ok=True)
    cluster = Cluster(plan, folder, secrets.token_urlsafe(24))
    try:
        cluster.start()
    except BaseException:
        with contextlib.suppress(OSError):
            cluster.close()
        raise
    return cluster
