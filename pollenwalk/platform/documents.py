"""Decoders of the store's objects that the operator and upstream hosts write."""

from typing import Annotated, Any, NotRequired, TypedDict

import msgspec

from pollenwalk.connection.addresses import is_ip_and_port
from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.errors import MalformedObject
from pollenwalk.platform.headers import is_header_word
from pollenwalk.platform.pages import UNREADABLE
from pollenwalk.version.organisations import Organisation, index_keys
from pollenwalk.version.routes import (
    CallerLimits,
    CallKind,
    Engine,
    Route,
    RoutingConfiguration,
    Share,
    Upstream,
    index_routes,
)

CONFIGURATION_PREFIX = 'config/'
CONFIGURATION_KEY = 'config/main'
HOSTS_PREFIX = 'servers/'
RETIREMENTS_PREFIX = 'retirements/'

MS_PER_SECOND = 1000
# Bounds of numbers that other processes write. What lies beyond them is a mistake of
# the writer, and could overflow where it is used.
MAX_SLOTS = 65_535
MAX_DURATION_MS = 1e10
MAX_DURATION_S = 1e7
MAX_COUNT = 1_000_000_000_000_000
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
DurationS = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
CALL_KINDS = {
    'safe': CallKind.SAFE,
    'unsafe': CallKind.UNSAFE,
    'streaming': CallKind.STREAM,
}
# By the state that an upstream host reports: True if it accepts no new calls.
LEAVING_BY_STATE = {'ready': False, 'draining': True}


class WireShare(TypedDict):
    """An entry of `traffic_split`."""

    service: str
    weight: Weight


class WireRoute(TypedDict):
    """An entry of `routes`, as the operator writes it.

    See `Route` for what the fields mean; `gap_aim_ms` is its
    `pause_target_ms`.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: DurationMs
    target_latency_ms: NotRequired[DurationMs]
    gap_aim_ms: NotRequired[DurationMs]
    priority: NotRequired[Count]
    service: NotRequired[str | None]
    traffic_split: NotRequired[list[WireShare] | None]
    max_attempts: NotRequired[Count]
    resumable: NotRequired[bool]
    retain_history: NotRequired[bool]
    retention_s: NotRequired[DurationS]
    public: NotRequired[bool]
    sticky: NotRequired[bool]


class WireTenant(TypedDict):
    """An entry of `tenants`: an organisation; see `Organisation`."""

    name: str
    api_keys: NotRequired[list[str]]
    priority: NotRequired[Count | None]
    rate_per_s: NotRequired[Weight]
    burst: NotRequired[Weight]


class WireEngine(TypedDict):
    """The `engine` of a service; `kv_capacity` is in tokens."""

    slots: Count
    kv_capacity: Count
    tokens_per_event: Count


class WireService(TypedDict):
    """An entry of `services`, as the operator writes it."""

    name: str
    max_conns: Count
    engine: NotRequired[WireEngine]


class WireLimits(TypedDict):
    """The limits of callers' requests."""

    max_body_bytes: Count


class WireConfiguration(TypedDict):
    """The object `config/main`."""

    version: Count
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits
    tenants: NotRequired[list[WireTenant] | None]


class WireServer(TypedDict):
    """The object of an upstream host.

    A host states all of this but `born`, so an object that lacks some of it is not that
    of a host. `born` is the Unix time of the host's start, `cold_left_ms` the time for
    which the host is still slow after it. `version` is that of the host's software,
    `seq` counts what the host has said of itself.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Slots
    state: str
    cold_left_ms: DurationMs
    seq: Count
    born: NotRequired[Count]


class WireRetirement(TypedDict):
    """A request to retire the keeper of a storage host within `duration_s`.

    A keeper that retires first copies its records to other keepers.
    """

    duration_s: DurationS


CONFIGURATION_DECODER = msgspec.json.Decoder(WireConfiguration)
SERVER_DECODER = msgspec.json.Decoder(WireServer)
RETIREMENT_DECODER = msgspec.json.Decoder(WireRetirement)


def decode(decoder: msgspec.json.Decoder[Any], key: str, body: bytes) -> Any:
    """Decode the body of an object.

    Raises:
        MalformedObject: the body is not JSON of the expected form, is nested too
            deeply, or holds a number out of range.
    """
    try:
        return decoder.decode(body)
    except UNREADABLE as error:
        raise MalformedObject(f'{key}: {error}') from error


def decode_configuration(key: str, body: bytes) -> RoutingConfiguration:
    """Decode the operator's configuration.

    Raises:
        MalformedObject: the body, one of its routes or one of its organisations is
            not valid.
    """
    wire: WireConfiguration = decode(CONFIGURATION_DECODER, key, body)
    tenants = wire.get('tenants')
    return RoutingConfiguration(
        wire['version'],
        index_routes([decode_route(key, route) for route in wire['routes']]),
        {service['name']: decode_upstream(service) for service in wire['services']},
        CallerLimits(wire['limits']['max_body_bytes']),
        index_keys(decode_organisation(key, one) for one in tenants)
        if tenants
        else None,
    )


def decode_organisation(key: str, wire: WireTenant) -> Organisation:
    """Decode an entry of `tenants`.

    Raises:
        MalformedObject: no header can carry the organisation's name.
    """
    if not is_header_word(wire['name']):
        raise MalformedObject(f'{key}: an organisation name that no header can carry')
    return Organisation(
        wire['name'],
        tuple(wire.get('api_keys', ())),
        wire.get('priority'),
        wire.get('rate_per_s', 0),
        wire.get('burst', 0),
    )


def decode_route(key: str, wire: WireRoute) -> Route:
    """Decode one route.

    Raises:
        MalformedObject: the route's kind is unknown, or it has no upstream.
    """
    kind = CALL_KINDS.get(wire['kind'])
    shares = decode_shares(wire)
    if kind is None or not shares:
        raise MalformedObject(
            f'{key}: route {wire["name"]!r}: unknown kind or no upstream'
        )
    timeout_ms = wire['timeout_ms']
    return Route(
        name=wire['name'],
        host=wire['host'].lower(),
        path_prefix=wire['path_prefix'],
        kind=kind,
        timeout_ms=timeout_ms,
        target_ms=wire.get('target_latency_ms', timeout_ms),
        pause_target_ms=wire.get('gap_aim_ms', 0),
        priority=wire.get('priority', 0),
        shares=shares,
        max_attempts=wire.get('max_attempts', 1),
        resumable=wire.get('resumable', False),
        keeps_history=wire.get('retain_history', False),
        retention_ms=wire.get('retention_s', 0) * MS_PER_SECOND,
        public=wire.get('public', False),
        sticky=wire.get('sticky', False),
    )


def decode_shares(wire: WireRoute) -> tuple[Share, ...]:
    """Return a route's upstreams, from `traffic_split` or else from `service`.

    Upstreams of weight 0 are left out.
    """
    split = wire.get('traffic_split') or []
    shares = tuple(
        Share(part['service'], part['weight']) for part in split if part['weight'] > 0
    )
    service = wire.get('service')
    if shares or not service:
        return shares
    return (Share(service, 1),)


def decode_upstream(wire: WireService) -> Upstream:
    """Decode an entry of `services`."""
    engine = wire.get('engine')
    if engine is None:
        return Upstream(wire['name'], wire['max_conns'], None)
    return Upstream(
        wire['name'],
        wire['max_conns'],
        Engine(engine['slots'], engine['kv_capacity'], engine['tokens_per_event']),
    )


def decode_host(key: str, body: bytes) -> UpstreamHost:
    """Decode the object of an upstream host; the object's name is the host's id.

    Raises:
        MalformedObject: the body, the host's id, its state or its address is not valid.
    """
    wire: WireServer = decode(SERVER_DECODER, key, body)
    host_id = key.removeprefix(HOSTS_PREFIX)
    leaving = LEAVING_BY_STATE.get(wire['state'])
    if leaving is None or not is_ip_and_port(wire['address']):
        raise MalformedObject(f'{key}: unknown state or malformed address')
    if not is_header_word(host_id):
        raise MalformedObject(f'{key}: an id that no header can carry')
    return UpstreamHost(
        id=host_id,
        upstream=wire['service'],
        address=wire['address'],
        zone=wire['zone'],
        slots=wire['slots'],
        leaving=leaving,
        warm_up_ms=wire['cold_left_ms'],
        started_ms=wire.get('born', 0),
        software_version=wire['version'],
    )


def retirement_status(done: bool) -> dict[str, str]:
    """Return the status of a request to retire a storage host's keeper."""
    return {'state': 'completed' if done else 'running'}


def decode_retirement(key: str, body: bytes) -> float:
    """Return the time in ms within which a storage host's keeper is to retire.

    Raises:
        MalformedObject: the body is not valid.
    """
    wire: WireRetirement = decode(RETIREMENT_DECODER, key, body)
    return wire['duration_s'] * MS_PER_SECOND
