"""Route the requests of the operator API."""

import threading
from collections.abc import Callable, Mapping

from turmericproxy.configuration.changes import Accepted, refuse_faults
from turmericproxy.configuration.controller import ConfigurationController
from turmericproxy.configuration.deltas import ChangeId
from turmericproxy.configuration.resources import FieldFault, Kind
from turmericproxy.core.ids import AccountName, KeyId, Revision
from turmericproxy.core.results import Refusal, ResultCode, RunState, refuse
from turmericproxy.keys.controller import KeyController
from turmericproxy.keys.secrets import matches_any_digest
from turmericproxy.logs import Part, log_event
from turmericproxy.operators import answers, requests
from turmericproxy.settings.schema import HostSettings
from turmericproxy.web import HttpRequest, HttpResponse, HttpServer, create_json_response
from turmericproxy.web.refusals import create_refusal_response

OPERATOR_THREADS = 12
# Less than the number of threads, so that waiting watch calls never block all other calls.
MAX_WATCHERS = 8
WATCH_RETRY_AFTER_SECONDS = 2.0
MAX_WATCH_SECONDS = 20.0
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

StatusSources = Mapping[str, Callable[[], object]]
Answer = HttpResponse | Refusal


class OperatorApi:
    """Answer the requests of operators with the controllers of one host."""

    def __init__(
        self,
        settings: HostSettings,
        configuration: ConfigurationController,
        keys: KeyController,
        status_sources: StatusSources,
        render_metrics: Callable[[], str],
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._keys = keys
        self._status_sources = status_sources
        self._render_metrics = render_metrics
        self._watch_slots = threading.BoundedSemaphore(MAX_WATCHERS)

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        answer = self._check_operator(request) or self._answer(request)
        if isinstance(answer, Refusal):
            log_event(
                Part.OPERATORS,
                "request refused",
                method=request.method,
                path=request.path,
                code=int(answer.code),
                reason=answer.reason,
            )
            return create_refusal_response(answer)
        return answer

    def _answer(self, request: HttpRequest) -> Answer:
        try:
            return self._route(request)
        except Exception as error:  # an internal error must not end a thread of the listener
            return refuse(ResultCode.INTERNAL_ERROR, repr(error), RunState.UNKNOWN)

    def _check_operator(self, request: HttpRequest) -> Refusal | None:
        key = requests.read_key(request)
        if key is None:
            return refuse(ResultCode.KEY_MISSING, "the request has no operator key")
        if not matches_any_digest(key, self._settings.operator_key_digests):
            return refuse(ResultCode.KEY_UNKNOWN, "unknown operator key")
        return None

    def _route(self, request: HttpRequest) -> Answer:
        match (request.method, request.path.strip("/").split("/")):
            case ("GET", ["metrics"]):
                text = self._render_metrics().encode()
                return HttpResponse(200, text, {"Content-Type": METRICS_CONTENT_TYPE})
            case ("GET", ["v1", "status"]):
                return create_json_response(200, self._describe_status())
            case ("GET", ["v1", "watch"]):
                return self._watch(request)
            case ("GET", ["v1", "changes", change_id]):
                return self._get_change(ChangeId(change_id))
            case ("POST", ["v1", "keys"]):
                return self._create_key(request)
            case ("DELETE", ["v1", "keys", key_id]):
                return self._withdraw_key(KeyId(key_id))
            case (_, ["v1", "resources", kind, *names]) if len(names) <= 1:
                return self._route_resource(request, kind, names)
        return refuse(ResultCode.UNKNOWN_ROUTE, f"no route for {request.method} {request.path}")

    def _route_resource(self, request: HttpRequest, kind_name: str, names: list[str]) -> Answer:
        kind = requests.parse_kind(kind_name)
        if isinstance(kind, Refusal):
            return kind
        match (request.method, names):
            case ("GET", []):
                return self._list_resources(kind)
            case ("GET", [name]):
                return self._get_resource(kind, name)
            case ("PUT", [name]):
                return self._put_resource(request, kind, name)
            case ("DELETE", [name]):
                return self._delete_resource(request, kind, name)
        reason = f"method {request.method} is not allowed for resources"
        return refuse(ResultCode.METHOD_NOT_ALLOWED, reason)

    def _list_resources(self, kind: Kind) -> HttpResponse:
        snapshot = self._configuration.snapshot()
        entries = sorted(snapshot.get_table(kind).items())
        listed = [answers.describe_entry(kind, entry) for _, entry in entries]
        return create_json_response(200, {"revision": snapshot.revision, "resources": listed})

    def _get_resource(self, kind: Kind, name: str) -> Answer:
        entry = self._configuration.snapshot().get_table(kind).get(name)
        if entry is None:
            reason = f"{kind.value} {name!r} does not exist"
            return refuse(ResultCode.RESOURCE_NOT_FOUND, reason)
        headers = {"ETag": answers.create_etag(entry.version)}
        return create_json_response(200, answers.describe_entry(kind, entry), headers)

    def _put_resource(self, request: HttpRequest, kind: Kind, name: str) -> Answer:
        if kind is Kind.KEY and self._keys.is_withdrawn(KeyId(name)):
            return refuse(ResultCode.RESOURCE_CONFLICT, f"key {name!r} was withdrawn")
        precondition = requests.parse_precondition(request.headers)
        if isinstance(precondition, Refusal):
            return precondition
        body = requests.parse_object(request)
        if isinstance(body, Refusal):
            return body
        spec = requests.parse_spec(kind, name, body)
        if isinstance(spec, Refusal):
            return spec
        result = self._configuration.change(kind, name, spec, precondition.version)
        return answers.create_accepted_response(result) if isinstance(result, Accepted) else result

    def _delete_resource(self, request: HttpRequest, kind: Kind, name: str) -> Answer:
        precondition = requests.parse_precondition(request.headers)
        if isinstance(precondition, Refusal):
            return precondition
        if kind is Kind.KEY and precondition.version is None:
            return self._withdraw_key(KeyId(name))
        result = self._configuration.change(kind, name, None, precondition.version)
        return answers.create_accepted_response(result) if isinstance(result, Accepted) else result

    def _create_key(self, request: HttpRequest) -> Answer:
        body = requests.parse_object(request)
        if isinstance(body, Refusal):
            return body
        faults = tuple(
            FieldFault(field, "is not a string")
            for field in ("account", "name")
            if not isinstance(body.get(field), str)
        ) + tuple(
            FieldFault(field, "is not a field of this request")
            for field in sorted(body.keys() - {"account", "name"})
        )
        if faults:
            return refuse_faults(faults)
        created = self._keys.create(AccountName(body["account"]), body["name"])
        if isinstance(created, Refusal):
            return created
        return create_json_response(201, {"id": created.key_id, "secret": created.secret})

    def _withdraw_key(self, key_id: KeyId) -> Answer:
        result = self._keys.withdraw(key_id)
        if isinstance(result, Refusal):
            return result
        return create_json_response(200, {"withdrawn": True, "durable": result.durable})

    def _get_change(self, change_id: ChangeId) -> HttpResponse:
        record = self._configuration.find_change(change_id)
        body = {"accepted": record.is_accepted, "revision": record.revision}
        return create_json_response(200, {"change_id": change_id, **body})

    def _watch(self, request: HttpRequest) -> Answer:
        since = requests.parse_number(request.query, "since", 0)
        wait = requests.parse_number(request.query, "wait", MAX_WATCH_SECONDS)
        if isinstance(since, Refusal):
            return since
        if isinstance(wait, Refusal):
            return wait
        after = Revision(int(since))
        if not self._watch_slots.acquire(blocking=False):
            reason = f"the limit of {MAX_WATCHERS} concurrent watch requests is reached"
            return refuse(ResultCode.OVERLOADED, reason, retry_after=WATCH_RETRY_AFTER_SECONDS)
        try:
            self._configuration.wait_for_newer(after, min(wait, MAX_WATCH_SECONDS))
        finally:
            self._watch_slots.release()
        changes = self._configuration.list_changes(after)
        if changes is None:
            return self._create_watch_reset()
        revision = changes[-1].revision if changes else after
        listed = [answers.describe_delta(delta) for delta in changes]
        return create_json_response(200, {"revision": revision, "changes": listed})

    def _create_watch_reset(self) -> HttpResponse:
        snapshot = self._configuration.snapshot()
        listed = [
            answers.describe_entry(kind, entry)
            for kind, table in snapshot.tables.items()
            for _, entry in sorted(table.items())
        ]
        body = {"revision": snapshot.revision, "reset": True, "resources": listed}
        return create_json_response(200, body)

    def _describe_status(self) -> dict[str, object]:
        age = self._configuration.measure_age()
        revision = self._configuration.snapshot().revision
        local = {"host": self._settings.host, "domain": self._settings.domain, "revision": revision}
        others = [
            {"host": peer.host, "domain": peer.domain, "revision": peer.revision}
            for peer in self._configuration.list_host_revisions()
        ]
        return {
            "host": self._settings.host,
            "domain": self._settings.domain,
            "revision": revision,
            "confirmed_seconds_ago": None if age == float("inf") else round(age, 3),
            "hosts": sorted([local, *others], key=lambda entry: str(entry["host"])),
            "withdrawals_not_written": list(self._keys.list_uncommitted_withdrawals()),
            **{
                name: answers.describe_value(describe())
                for name, describe in self._status_sources.items()
            },
        }


def create_operator_server(
    settings: HostSettings,
    configuration: ConfigurationController,
    keys: KeyController,
    status_sources: StatusSources,
    render_metrics: Callable[[], str] = str,
) -> HttpServer:
    """Create the HTTP server of the operator API, without starting it."""
    api = OperatorApi(settings, configuration, keys, status_sources, render_metrics)
    return HttpServer(settings.listen.operators, api.handle, threads=OPERATOR_THREADS)
