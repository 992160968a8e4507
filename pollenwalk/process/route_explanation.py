"""Explains where a gateway would send a request now, without sending it."""

import math
from typing import Any

from pollenwalk.errors import Refusal
from pollenwalk.policy.host_choice import TIE_TOLERANCE_MS, CallCost, finish_ms
from pollenwalk.policy.program_admission import max_program_wait_ms
from pollenwalk.process.call_placer import CallPlacer
from pollenwalk.process.host_table import HostState
from pollenwalk.request.call_preparation import CallPreparation
from pollenwalk.request.call_sender import CallSender
from pollenwalk.request.forwarding_context import ForwardingContext
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.http_messages import Request
from pollenwalk.request.program_admission import admits_new_program

Fields = dict[str, Any]
# Id of an explained request that has none. The id chooses the upstream of a route with
# several, if the request belongs to no program.
DEFAULT_ID = 'explain-route'


class RouteExplainer:
    """Finds the route, the upstream and the candidates of a request."""

    def __init__(
        self, preparation: CallPreparation, context: ForwardingContext
    ) -> None:
        """Explain the decisions of one gateway."""
        self.preparation = preparation
        self.context = context

    def explain(self, request: Request) -> Fields:
        """Return what decides where a request would go now.

        A request that would be refused has `refused` with the code and the reason.
        """
        metadata = request.metadata
        named = metadata._replace(id=metadata.id or DEFAULT_ID)
        try:
            call = self.preparation.prepare(request._replace(metadata=named))
            self.context.permits.crash_guard.check(call)
        except Refusal as refusal:
            return {'refused': refusal_fields(refusal)}
        sender = CallSender(self.context, call, b'')
        return {
            'version': call.version,
            'route': route_fields(call),
            'upstream': call.upstream,
            'organisation': call.organisation_name,
            'expected_run_ms': round(sender.cost.run_ms, 1),
            'program_admission': admission_fields(sender),
            'hosts': host_fields(self.context.call_placer, call, sender.cost),
        }


def refusal_fields(refusal: Refusal) -> Fields:
    """Return why a request would be refused."""
    return {
        'code': str(refusal.code),
        'reason': refusal.message,
        'retry_after_ms': refusal.retry_after_ms,
    }


def route_fields(call: Call) -> Fields:
    """Return the figures of a call's route."""
    route = call.route
    return {
        'name': route.name,
        'kind': str(route.kind),
        'path_prefix': route.path_prefix,
        'shares': {share.upstream: share.weight for share in route.shares},
        'priority_rank': list(call.priority_rank),
        'target_ms': route.target_ms,
        'timeout_ms': route.timeout_ms,
        'max_attempts': route.max_attempts,
    }


def admission_fields(sender: CallSender) -> Fields:
    """Return whether a program that began with the call would be admitted."""
    placer = sender.context.call_placer
    route = sender.call.route
    return {
        'admitted': admits_new_program(sender),
        'checked': route.is_streaming,
        'host_wait_ms': round(placer.min_wait_ms(sender.call, sender.cost), 1),
        'gateway_wait_ms': round(placer.own_load.expected_wait_ms, 1),
        'max_wait_ms': round(max_program_wait_ms(route.target_ms, route.priority), 1),
    }


def host_fields(placer: CallPlacer, call: Call, cost: CallCost) -> list[Fields]:
    """Return the hosts of a call's upstream, those that finish it first in front.

    Hosts that may be chosen have an expected finish within a tolerance of the first.
    """
    now_ms = placer.clock.now_ms()
    states = placer.host_table.hosts_of(call.upstream)
    hosts = [describe(placer, state, cost, now_ms) for state in states]
    staying = [one for one in hosts if not one['leaving']]
    trusted = [one for one in staying if not is_suspected(one)] or staying
    best_ms = min((one['finish_ms'] for one in trusted), default=math.inf)
    for host in trusted:
        host['may_be_chosen'] = host['finish_ms'] <= best_ms + TIE_TOLERANCE_MS
    return sorted(hosts, key=lambda one: (not one['may_be_chosen'], one['finish_ms']))


def is_suspected(host: Fields) -> bool:
    """Return whether a described host is suspected."""
    return bool(host['suspected_ms'] or host['silent'])


def describe(
    placer: CallPlacer, state: HostState, cost: CallCost, now_ms: float
) -> Fields:
    """Return the figures by which a host is chosen."""
    candidate = placer.candidate(state, now_ms, cost)
    age_ms = state.report_age_ms(now_ms)
    return {
        'host': state.registration.id,
        'zone': state.registration.zone,
        'may_be_chosen': False,
        'finish_ms': round(finish_ms(candidate, cost), 1),
        'load': round(candidate.load, 1),
        'slots': candidate.slots,
        'in_flight': state.in_flight,
        'cached_tokens': candidate.cached_tokens,
        'load_age_ms': None if age_ms is None else round(age_ms),
        'distance': distance_of(candidate.same_zone, candidate.same_region),
        'suspected_ms': round(max(state.suspected_until_ms - now_ms, 0)),
        'silent': state.silence.is_silent,
        'limit_per_s': placer.host_table.limit_of(state),
        'permit_wait_ms': round(candidate.permit_wait_ms),
        'leaving': state.registration.leaving,
    }


def distance_of(same_zone: bool, same_region: bool) -> str:
    """Return how far a host is from the gateway."""
    if same_zone:
        return 'same zone'
    return 'same region' if same_region else 'other region'
