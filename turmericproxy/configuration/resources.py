"""Define the resources that operators create, and validate them."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
)

from turmericproxy.core.addresses import split_address

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]


def _check_address(address: str) -> str:
    split_address(address)
    return address


Address = Annotated[
    str,
    StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"),
    AfterValidator(_check_address),
]
Digest = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]


class Kind(Enum):
    """List the kinds of resources."""

    ACCOUNT = "account"
    KEY = "key"
    MODEL = "model"
    ENGINE = "engine"
    UPSTREAM = "upstream"
    ROUTE = "route"


class UpstreamState(Enum):
    """Classify whether an engine or upstream accepts new requests."""

    ACTIVE = "active"
    LEAVING = "leaving"


class Resource(BaseModel):
    """Define the fields that all kinds of resources share."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    name: Name


class Account(Resource):
    """Describe a client account; ``rate`` is in tokens per second, ``burst`` in tokens."""

    rate: float = Field(gt=0, le=1e9)
    burst: int = Field(gt=0, le=1_000_000_000)


class Key(Resource):
    """Describe a caller's key by its digest; the name is the public key id."""

    account: Name
    digest: Digest


class Model(Resource):
    """Describe a model and the version of its weights that engines must serve."""

    version: Annotated[str, StringConstraints(min_length=1, max_length=64)]


class Engine(Resource):
    """Describe a model engine; ``slots`` limits the requests that each host has in flight there."""

    domain: Name
    address: Address
    models: tuple[Name, ...]
    state: UpstreamState = UpstreamState.ACTIVE
    checks_fence: bool = True
    slots: int = Field(default=32, ge=1, le=4096)


class Upstream(Resource):
    """Describe a plain service, to which calls are routed."""

    domain: Name
    address: Address
    state: UpstreamState = UpstreamState.ACTIVE
    slots: int = Field(default=64, ge=1, le=4096)


class Route(Resource):
    """Describe a plain route with its upstreams and the client accounts that may use it.

    An open route requires no key. Calls on a route that is not repeatable run at most once.
    ``cost`` is charged against the client account's rate, in tokens per call. ``timeout`` is in
    seconds.
    """

    upstreams: tuple[Name, ...] = Field(min_length=1)
    open: bool = False
    accounts: tuple[Name, ...] | None = None
    repeatable: bool = False
    cost: int = Field(default=1, ge=0, le=1_000_000)
    timeout: float = Field(default=10.0, gt=0, le=600)


AnyResource = Account | Key | Model | Engine | Upstream | Route
KindName = Literal["account", "key", "model", "engine", "upstream", "route"]

RESOURCE_TYPES: dict[Kind, type[Resource]] = {
    Kind.ACCOUNT: Account,
    Kind.KEY: Key,
    Kind.MODEL: Model,
    Kind.ENGINE: Engine,
    Kind.UPSTREAM: Upstream,
    Kind.ROUTE: Route,
}


@dataclass(frozen=True)
class FieldFault:
    """Describe a fault in one field of a resource."""

    field: str
    reason: str

    def __str__(self) -> str:
        return f"{self.field}: {self.reason}"


def parse_resource(
    kind: Kind, name: str, spec: Mapping[str, Any]
) -> Resource | tuple[FieldFault, ...]:
    """Return the validated resource, or every fault found in it.

    >>> parse_resource(Kind.MODEL, "small", {"version": "1"})
    Model(name='small', version='1')
    >>> [str(fault) for fault in parse_resource(Kind.MODEL, "small", {})]
    ['version: Field required']
    """
    try:
        return RESOURCE_TYPES[kind].model_validate({**spec, "name": name})
    except ValidationError as error:
        return tuple(
            FieldFault(".".join(map(str, fault["loc"])) or "spec", fault["msg"])
            for fault in error.errors()
        )


def describe_resource(resource: Resource) -> dict[str, Any]:
    """Return the fields of a resource without its name, as plain values."""
    return resource.model_dump(mode="json", exclude={"name"})
