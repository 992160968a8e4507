"""Preparation of a call: its route, its organisation, its upstream and its deadline."""

import random
import zlib

from loguru import logger

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.policy.program_admission import draw_elsewhere_retry_ms
from pollenwalk.process.configuration_lease import ConfigurationLease
from pollenwalk.request.gateway_call import Call, call_deadline_at_ms
from pollenwalk.request.http_messages import Request
from pollenwalk.version.active_configuration import ActiveConfiguration
from pollenwalk.version.organisations import Organisation
from pollenwalk.version.routes import Route, RoutingConfiguration

# Retry-After until the first configuration is read: a start takes about 1 s.
STARTUP_RETRY_AFTER_MS = 500
# Number of different CRC-32 checksums.
CHECKSUM_VALUES = 4_294_967_296


class CallPreparation:
    """Prepares calls by the configuration that is in force.

    Attributes:
        active_configuration: the configuration.
        lease: how long it may be relied on.
        rng: the process's random number generator.
    """

    def __init__(
        self,
        active_configuration: ActiveConfiguration,
        lease: ConfigurationLease,
        rng: random.Random,
    ) -> None:
        """Prepare calls by a configuration and its lease."""
        self.active_configuration = active_configuration
        self.lease = lease
        self.rng = rng

    @property
    def serves_organisations(self) -> bool:
        """Return whether calls that need a key can be served now."""
        current = self.active_configuration.current
        if current is None or current.organisations is None:
            return True
        return self.lease.holds and not self.active_configuration.is_superseded

    def prepare(self, request: Request) -> Call:
        """Find the route and the organisation of a request and create its call.

        Raises:
            Refusal: there is no configuration yet, no route matches, the request has
                no id, or its key is unknown or can't be checked now.
        """
        current = self.active_configuration.current
        if current is None:
            raise Refusal(
                RefusalCode.NOT_CONFIGURED,
                'this gateway has not read its configuration yet',
                retry_after_ms=STARTUP_RETRY_AFTER_MS,
            )
        route = current.match(request.host, request.path)
        if route is None:
            raise Refusal(
                RefusalCode.UNKNOWN_ROUTE,
                f'no route matches in configuration version {current.version}',
            )
        if not request.metadata.id:
            raise Refusal(RefusalCode.MALFORMED, 'the request has no id')
        organisation = None
        if current.needs_key(route):
            organisation = self.identify(current, request)
        return make_call(current, route, request, organisation)

    def identify(self, current: RoutingConfiguration, request: Request) -> Organisation:
        """Return the organisation that a request's key belongs to.

        Raises:
            Refusal: no organisation has the key, or that can't be known now.
        """
        if not self.serves_organisations:
            raise self.unconfirmed(request)
        organisation = (current.organisations or {}).get(request.metadata.api_key)
        if organisation is not None:
            return organisation
        if not self.lease.is_recent:
            raise self.unconfirmed(request)
        logger.info(
            'unknown_key',
            request=request.metadata.id,
            version=current.version,
            has_key=bool(request.metadata.api_key),
            age_ms=round(self.lease.age_ms),
        )
        raise Refusal(
            RefusalCode.UNKNOWN_KEY,
            f'no organisation has this key in configuration version {current.version}',
        )

    def unconfirmed(self, request: Request) -> Refusal:
        """Return the refusal of a call whose key can't be checked now."""
        age_ms = min(self.lease.age_ms, self.lease.clock.boot_ms())
        logger.warning(
            'keys_unconfirmed', request=request.metadata.id, age_ms=round(age_ms)
        )
        return Refusal(
            RefusalCode.KEYS_UNCONFIRMED,
            'this gateway has not been able to confirm its configuration lately',
            retry_after_ms=round(draw_elsewhere_retry_ms(self.rng)),
        )


def make_call(
    current: RoutingConfiguration,
    route: Route,
    request: Request,
    organisation: Organisation | None = None,
) -> Call:
    """Create a call with its upstream and its deadline."""
    metadata = request.metadata
    upstream = pick_upstream(route, metadata.program or metadata.id)
    return Call(
        request=request,
        route=route,
        upstream=upstream,
        version=current.version,
        deadline_at_ms=call_deadline_at_ms(request, route),
        tokens_per_event=current.tokens_per_event(route),
        organisation=organisation,
        memory_tokens=current.memory_tokens(upstream),
    )


def pick_upstream(route: Route, key: str) -> str:
    """Pick one of a route's upstreams by their weights.

    Args:
        route: route with the upstreams.
        key: id of the program, or of a request without one. The same key gets
            the same upstream while the weights stay the same.
    """
    total_weight = sum(share.weight for share in route.shares)
    position = zlib.crc32(key.encode('latin-1')) / CHECKSUM_VALUES * total_weight
    for share in route.shares:
        position -= share.weight
        if position < 0:
            return share.upstream
    return route.shares[-1].upstream
