"""Find the route and account of a request and its cost, before it is forwarded."""

import zlib

from turmericproxy.core import Refusal, ResultCode, refuse
from turmericproxy.edge import AnswerWriter
from turmericproxy.traffic.requests import ParsedRequest
from turmericproxy.traffic.routed_request import RoutedRequest
from turmericproxy.traffic.site import Account, Site, choose_service

# Retry-After while a host waits for its first configuration.
NOT_CONFIGURED_RETRY_AFTER_SECONDS = 0.5
CRC32_RANGE = 2**32


def find_route(
    site: Site | None, parsed: ParsedRequest, writer: AnswerWriter
) -> RoutedRequest | Refusal:
    """Return the request with its route, service and deadline, or a refusal."""
    if site is None:
        reason = "the host has no configuration yet"
        return refuse(
            ResultCode.NO_UPSTREAM, reason, retry_after=NOT_CONFIGURED_RETRY_AFTER_SECONDS
        )
    route = site.find_route(parsed.host, parsed.raw.path)
    if route is None:
        return refuse(ResultCode.UNKNOWN_ROUTE, "no route matches host and path")
    position = zlib.crc32(parsed.request_id.encode()) / CRC32_RANGE
    service = site.services.get(choose_service(route, position))
    if service is None:
        reason = f"route {route.name} names an unknown service"
        return refuse(
            ResultCode.NO_UPSTREAM, reason, retry_after=NOT_CONFIGURED_RETRY_AFTER_SECONDS
        )
    request = RoutedRequest(parsed, writer, site, route, service)
    request.deadline = min(parsed.deadline, parsed.raw.received_at + route.timeout)
    return request


def identify_account(request: RoutedRequest) -> Refusal | None:
    """Set the account of the request from its key; return a refusal if the route requires one."""
    site, parsed = request.site, request.parsed
    if not site.accounts:
        return None
    if parsed.key is not None:
        request.account = site.find_account(parsed.key)
    if request.account or request.route.is_public:
        return None
    if parsed.key is None:
        return refuse(ResultCode.KEY_MISSING, "the route needs a key")
    return refuse(ResultCode.KEY_UNKNOWN, "no account holds the key")


def compute_cost(account: Account, parsed: ParsedRequest) -> int:
    """Return the cost of a request for its account, in tokens or requests."""
    if not account.is_counted_in_tokens:
        return 1
    prompt = parsed.prompt
    if prompt is None:
        return account.default_cost
    return prompt.prompt_tokens + prompt.output_tokens
