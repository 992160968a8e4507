"""Which calls a gateway applies the policies of urgency and admission to."""

import asyncio
import random

import testtools

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.policy.turn_times import TurnTime
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.load_admission import AdmissionSwitches, LoadAdmission
from pollenwalk.request.streaming import StandaloneTurn, make_sender, run_stream
from pollenwalk.request.unary import run_unary
from pollenwalk.version.active_configuration import ActiveConfiguration
from pollenwalk.version.organisations import Organisation, index_keys
from pollenwalk.version.routes import CallerLimits, RoutingConfiguration, index_routes
from standin.platform.host import Line, Received, chunk, event, stream_head
from test.helper import on_loop
from test.request.test_forwarding import (
    RESUMABLE,
    ROUTE,
    Hosts,
    RecordedReply,
    answers_hello,
    make_call,
)

EVENT_PAUSE_S = 0.02
PRIORITY_HEADER = 'x-pollenwalk-request-priority'
ACME = Organisation('acme', ('k1',), 1)


def make_configuration(*organisations: Organisation) -> ActiveConfiguration:
    """Return a configuration in force; without organisations, callers need no key."""
    active = ActiveConfiguration()
    by_key = index_keys(organisations) if organisations else None
    routes = index_routes([ROUTE, ROUTE._replace(name='less', priority=2)])
    active.current = RoutingConfiguration(1, routes, {}, CallerLimits(1000), by_key)
    return active


def make_admission(
    active: ActiveConfiguration, *switches: bool, refused: bool = False
) -> LoadAdmission:
    """Return the admission of a gateway, which lets no program begin if `refused`."""
    rng = random.Random(1)
    chosen = AdmissionSwitches(*switches)
    admission = LoadAdmission(LoopClock(), active, GatewayMetrics(), rng, chosen)
    if refused:
        admission.stretch.may_begin = lambda *_: False
    return admission


async def streams_at_a_pace(line: Line, request: Received) -> None:
    """Stream four events as an engine does, one after the other."""
    line.say(stream_head(request))
    for number in range(1, 5):
        await asyncio.sleep(EVENT_PAUSE_S)
        line.say(chunk(event(number)))
    line.say(chunk(b''))


class FirstTurn(StandaloneTurn):
    """A turn of which the first keepers know no earlier one of its program."""

    def __init__(self, is_first: bool) -> None:
        """Create a turn of which a majority says whether it is the first."""
        super().__init__(b'')
        self.begins_program = True
        self.is_first = is_first

    async def confirm_beginning(self) -> None:
        """Learn what the majority knows."""
        self.begins_program = self.is_first


class LoadAdmissionTest(testtools.TestCase):
    """What is done with and without organisations in the configuration."""

    async def sent_priority(self, admission: LoadAdmission | None) -> str | None:
        """Return the priority that a host received with a call; None for none."""
        hosts = Hosts(answers_hello)
        context = (await hosts.start())._replace(admission=admission)
        call = make_call(ROUTE)._replace(organisation=ACME)
        await run_unary(context, call, RecordedReply())
        hosts.hosts[0].stop()
        return hosts.hosts[0].received[0].headers.get(PRIORITY_HEADER)

    @on_loop
    async def test_priorities_are_sent_only_if_configured(self) -> None:
        # Guards against a changed order at hosts of deployments that did not ask for it.
        plain = make_configuration()
        self.assertIsNone(await self.sent_priority(make_admission(plain)))
        told = await self.sent_priority(make_admission(plain, True))
        self.assertIsNotNone(told)
        told = await self.sent_priority(make_admission(make_configuration(ACME)))
        self.assertIsNotNone(told)

    @on_loop
    async def test_levels_follow_the_configuration(self) -> None:
        # Guards against levels of ranks that the configuration no longer has.
        active = make_configuration(ACME)
        admission = make_admission(active)
        call = make_call(ROUTE)._replace(organisation=ACME)
        before = admission.host_priority(call, begins_program=False)
        active.current = make_configuration(ACME._replace(priority=0)).current
        urgent = call._replace(organisation=ACME._replace(priority=0))
        after = admission.host_priority(urgent, begins_program=False)
        self.assertEqual(0, after)
        self.assertTrue((before or 0) > 0)

    async def begin_program(self, admission: LoadAdmission, is_first: bool) -> str:
        """Return the code of the refusal of a first turn; empty if it may run."""
        hosts = Hosts(answers_hello)
        context = (await hosts.start())._replace(admission=admission)
        hosts.hosts[0].stop()
        try:
            await make_sender(context, make_call(RESUMABLE), FirstTurn(is_first))
        except Refusal as refusal:
            self.assertTrue((refusal.retry_after_ms or 0) > 0)
            return refusal.code
        return ''

    @on_loop
    async def test_new_programs_are_refused_only_if_configured(self) -> None:
        # Guards against refusals in deployments that did not ask for them, and of
        # turns that a majority of the keepers knows as later ones of their program.
        plain = make_configuration()
        off = make_admission(plain, refused=True)
        self.assertEqual('', await self.begin_program(off, is_first=True))
        for active, switches in (
            (plain, (False, True)),
            (make_configuration(ACME), ()),
        ):
            admission = make_admission(active, *switches, refused=True)
            outcome = await self.begin_program(admission, is_first=True)
            self.assertEqual(RefusalCode.OVERLOADED, outcome)
            self.assertEqual('', await self.begin_program(admission, is_first=False))

    @on_loop
    async def test_streams_are_measured(self) -> None:
        # Guards against admission that never learns how long turns take.
        hosts = Hosts(streams_at_a_pace)
        admission = make_admission(make_configuration())
        measured: list[TurnTime] = []
        admission.record_turn = measured.append
        context = (await hosts.start())._replace(admission=admission)
        await run_stream(
            context, make_call(RESUMABLE), StandaloneTurn(b''), RecordedReply()
        )
        hosts.hosts[0].stop()
        self.assertEqual([(4, 'i-0')], [(one.events, one.host) for one in measured])
        self.assertTrue(0 < measured[0].first_ms <= measured[0].total_ms)

    @on_loop
    async def test_the_greedy_organisation_is_refused_first(self) -> None:
        # Guards against demand that is not counted for the organisation of the key.
        admission = make_admission(make_configuration(ACME))
        admission.shares.may_begin = lambda *_: False
        acme = make_call(ROUTE)._replace(organisation=ACME)
        other = acme._replace(organisation=Organisation('other'))
        admission.record_demand(other)
        for _ in range(10):
            admission.record_demand(acme)
        self.assertEqual('share', admission.reason_to_refuse(acme))
        self.assertEqual('', admission.reason_to_refuse(other))
        self.assertTrue(admission.counted_wait_ms(acme, 10) > 10)
        self.assertEqual(10, admission.counted_wait_ms(other, 10))
        self.assertEqual(10, admission.counted_wait_ms(make_call(ROUTE), 10))
