"""Which calls a gateway applies the policies of urgency to."""

import testtools

from pollenwalk.process.clock import LoopClock
from pollenwalk.process.load_admission import LoadAdmission
from pollenwalk.request.unary import run_unary
from pollenwalk.version.active_configuration import ActiveConfiguration
from pollenwalk.version.organisations import Organisation, index_keys
from pollenwalk.version.routes import CallerLimits, RoutingConfiguration, index_routes
from test.helper import on_loop
from test.request.test_forwarding import (
    ROUTE,
    Hosts,
    RecordedReply,
    answers_hello,
    make_call,
)

PRIORITY_HEADER = 'x-pollenwalk-request-priority'
ACME = Organisation('acme', ('k1',), 1)


def make_configuration(*organisations: Organisation) -> ActiveConfiguration:
    """Return a configuration in force; without organisations, callers need no key."""
    active = ActiveConfiguration()
    by_key = index_keys(organisations) if organisations else None
    routes = index_routes([ROUTE, ROUTE._replace(name='less', priority=2)])
    active.current = RoutingConfiguration(1, routes, {}, CallerLimits(1000), by_key)
    return active


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
        clock = LoopClock()
        plain = make_configuration()
        self.assertIsNone(await self.sent_priority(LoadAdmission(clock, plain)))
        told = await self.sent_priority(LoadAdmission(clock, plain, True))
        self.assertIsNotNone(told)
        told = await self.sent_priority(LoadAdmission(clock, make_configuration(ACME)))
        self.assertIsNotNone(told)

    @on_loop
    async def test_levels_follow_the_configuration(self) -> None:
        # Guards against levels of ranks that the configuration no longer has.
        active = make_configuration(ACME)
        admission = LoadAdmission(LoopClock(), active)
        call = make_call(ROUTE)._replace(organisation=ACME)
        before = admission.host_priority(call, begins_program=False)
        active.current = make_configuration(ACME._replace(priority=0)).current
        urgent = call._replace(organisation=ACME._replace(priority=0))
        after = admission.host_priority(urgent, begins_program=False)
        self.assertEqual(0, after)
        self.assertTrue((before or 0) > 0)
