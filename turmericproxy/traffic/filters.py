"""Check a request step by step before it is sent anywhere."""

import zlib

from turmericproxy.core import Refusal, ResultCode, refuse
from turmericproxy.edge import AnswerWriter
from turmericproxy.traffic.passage import Passage
from turmericproxy.traffic.requests import ParsedRequest
from turmericproxy.traffic.site import Account, Site, choose_service

# Advice to come back while a host waits for its first configuration, in seconds.
NOT_CONFIGURED_RETRY = 0.5
HASH_RANGE = 2**32


def find_route(
    site: Site | None, inquiry: ParsedRequest, writer: AnswerWriter
) -> Passage | Refusal:
    """Return the passage of a request along its route."""
    if site is None:
        reason = "the host has no configuration yet"
        return refuse(ResultCode.NO_UPSTREAM, reason, retry_after=NOT_CONFIGURED_RETRY)
    route = site.find_route(inquiry.host, inquiry.raw.path)
    if route is None:
        return refuse(ResultCode.UNKNOWN_ROUTE, "no route matches host and path")
    point = zlib.crc32(inquiry.request_id.encode()) / HASH_RANGE
    service = site.services.get(choose_service(route, point))
    if service is None:
        reason = f"route {route.name} names an unknown service"
        return refuse(ResultCode.NO_UPSTREAM, reason, retry_after=NOT_CONFIGURED_RETRY)
    passage = Passage(inquiry, writer, site, route, service)
    passage.deadline = min(inquiry.deadline, inquiry.raw.received_at + route.timeout)
    return passage


def identify_account(passage: Passage) -> Refusal | None:
    """Find the account whose key came with the request."""
    site, inquiry = passage.site, passage.inquiry
    if not site.accounts:
        return None
    if inquiry.key is not None:
        passage.account = site.find_account(inquiry.key)
    if passage.account or passage.route.is_public:
        return None
    if inquiry.key is None:
        return refuse(ResultCode.KEY_MISSING, "the route needs a key")
    return refuse(ResultCode.KEY_UNKNOWN, "no account holds the key")


def measure_cost(account: Account, inquiry: ParsedRequest) -> int:
    """Return what a request costs its account."""
    if not account.is_counted_in_tokens:
        return 1
    prompt = inquiry.prompt
    if prompt is None:
        return account.default_cost
    return prompt.prompt_tokens + prompt.output_tokens
