"""Whole fleets of gateways under load, some or all of them overloaded."""

from collections.abc import Callable, Iterable

import testtools

from pollenwalk.connection.load_messages import GatewayLoad
from pollenwalk.policy.fleet_load import (
    MAX_AWAY_SHARE,
    REPORT_TRUST_MS,
    FleetLoad,
)
from pollenwalk.policy.own_load import AWAY_MS, OVERLOAD_DELAY_MS
from test.policy.test_own_load import (
    END_MS,
    LEAST_ON_TIME,
    Outcome,
    PlayedGateway,
    PlayedZone,
)

REGIONS = {'a': 'east', 'b': 'east', 'c': 'west'}
# What a gateway spends on a connection that it accepts, or closes.
CONNECTION_WORK_MS = 6.0
REPORT_MS = 250.0
BUSY_MS = OVERLOAD_DELAY_MS * 2
# The speeds of the gateways of each zone.
Speeds = dict[str, list[float]]


class PlayedFleet(PlayedZone):
    """Zones of gateways behind a load balancer, with a keeper that hears of all.

    Attributes:
        zones: the gateways of each zone.
        fleet: decides who may leave; None if each gateway decides alone.
        most_away: the most gateways that were away at the same time.
        opened: connections that clients opened.
    """

    def __init__(
        self,
        seed: int,
        speeds: Speeds,
        *,
        decides: bool,
        together: bool,
    ) -> None:
        """Create zones with gateways of some speeds; all clients are idle."""
        super().__init__(seed, decides)
        self.zones = {
            zone: [PlayedGateway(speed) for speed in zone_speeds]
            for zone, zone_speeds in speeds.items()
        }
        self.own = [one for zone in self.zones.values() for one in zone]
        self.names = {id(one): f'g{index}' for index, one in enumerate(self.own)}
        self.fleet = FleetLoad(REGIONS) if together else None
        self.most_away = 0
        self.opened = 0
        if together:
            for one in self.own:
                one.load.permitted_until_ms = 0
            self.at(0, self.report)

    def zone_of(self, gateway: PlayedGateway) -> str:
        """Return the zone of a gateway."""
        return next(name for name, zone in self.zones.items() if gateway in zone)

    def report(self, now_ms: float) -> None:
        """Let all living gateways report their load."""
        for one in self.own:
            if not one.alive:
                continue
            load = GatewayLoad(
                self.names[id(one)],
                self.zone_of(one),
                one.load.delay_ms,
                one.load.wants_to_leave,
            )
            one.load.apply_fleet_state(self.fleet.record(load, now_ms), now_ms)
        away = sum(not one.load.accepts_callers(now_ms) for one in self.own)
        self.most_away = max(self.most_away, away)
        if now_ms < END_MS:
            self.at(now_ms + REPORT_MS, self.report)

    def connect(self, client: int) -> PlayedGateway:
        """Return the gateway that the balancer chooses for a client's zone."""
        names = sorted(self.zones)
        zone = self.zones[names[client % len(names)]]
        rotation = [one for one in zone if one.misses < 2]
        if 0 < 2 * len(rotation) < len(zone):
            rotation = zone
        rotation = rotation or [one for one in self.own if one.misses < 2] or self.own
        chosen = self.rng.choice([one for one in rotation if one.alive] or rotation)
        self.opened += 1
        chosen.take_turn(0, CONNECTION_WORK_MS)
        self.connections[client] = chosen
        return chosen


def crowd(rate: float) -> Callable[[float], float]:
    """Return a number of calls a second that doubles from 4 s to 16 s."""
    return lambda now_ms: rate * 2 if 4000 <= now_ms < 16_000 else rate


class WholeFleetTest(testtools.TestCase):
    """What callers get if all gateways are overloaded."""

    def play(
        self, seed: int, speeds: Speeds, rate: float, how: str
    ) -> tuple[Outcome, PlayedFleet]:
        """Play a crowd; `how` is who decides on leaving: nobody, each, or all."""
        fleet = PlayedFleet(
            seed, speeds, decides=how != 'nobody', together=how == 'all'
        )
        return fleet.run(crowd(rate)), fleet

    def fleets(self) -> Iterable[tuple[Speeds, float]]:
        """Yield fleets of some shapes, with a usual load that they bear just so."""
        for zone_size in (1, 2, 4, 20):
            speeds = {zone: [1.0] * zone_size for zone in REGIONS}
            yield speeds, 50.0 * zone_size * len(REGIONS) * 0.5
        mixed = {zone: [2.0, 0.5, 0.5, 0.5] for zone in REGIONS}
        yield mixed, 50.0 * 3.5 * len(REGIONS) * 0.5

    def test_loaded_fleet_serves_as_if_nobody_left(self) -> None:
        for speeds, rate in self.fleets():
            nobody, _ = self.play(1, speeds, rate, 'nobody')
            each, _ = self.play(1, speeds, rate, 'each')
            outcome, fleet = self.play(1, speeds, rate, 'all')
            shown = (speeds, nobody, each, outcome, fleet.opened)
            self.assertTrue(outcome.on_time >= nobody.on_time - 0.02, shown)
            self.assertTrue(outcome.on_time > each.on_time, shown)

    def test_few_are_away_at_once(self) -> None:
        for speeds, rate in self.fleets():
            _, fleet = self.play(1, speeds, rate, 'all')
            bound = max(1, int(len(fleet.own) * MAX_AWAY_SHARE))
            self.assertTrue(fleet.most_away <= bound, (speeds, fleet.most_away))

    def test_thin_zone_beside_idle_ones_is_relieved(self) -> None:
        speeds = {'a': [0.4], 'b': [4.0, 4.0], 'c': [4.0, 4.0]}
        for seed in range(3):
            nobody, _ = self.play(seed, speeds, 45.0, 'nobody')
            outcome, _ = self.play(seed, speeds, 45.0, 'all')
            self.assertTrue(outcome.on_time > LEAST_ON_TIME, (seed, nobody, outcome))
            self.assertTrue(outcome.on_time > nobody.on_time, (seed, nobody, outcome))


class FleetLoadTest(testtools.TestCase):
    """Which gateways may leave."""

    def fleet(self, delays_ms: dict[str, float]) -> FleetLoad:
        """Return a fleet whose gateways have reported; names begin with the zone."""
        fleet = FleetLoad(REGIONS)
        for name, delay_ms in delays_ms.items():
            fleet.record(GatewayLoad(name, name[0], delay_ms, False), 0)
        return fleet

    def ask(self, fleet: FleetLoad, name: str, now_ms: float = 0) -> bool:
        """Return whether a gateway may leave."""
        return fleet.record(GatewayLoad(name, name[0], BUSY_MS, True), now_ms).may_leave

    def test_who_may_leave(self) -> None:
        idle = {'b1': 0.0, 'b2': 0.0, 'c1': 0.0}
        cases = (
            ('idle gateways in the zone', {'a1': BUSY_MS, 'a2': 0, 'a3': 0}, True),
            ('a zone of its own beside idle ones', {'a1': BUSY_MS, **idle}, True),
            ('busy ones in the zone', {'a1': BUSY_MS, 'a2': BUSY_MS, **idle}, False),
            ('all busy', dict.fromkeys(('a1', 'b1', 'b2', 'c1'), BUSY_MS), False),
            ('nobody else', {'a1': BUSY_MS}, False),
            ('idle ones in another region only', {'a1': BUSY_MS, 'c1': 0}, True),
            ('busy region, idle other one', {'a1': 0, 'b1': BUSY_MS, 'c1': 0}, False),
        )
        for what, delays_ms, allowed in cases:
            self.assertEqual(allowed, self.ask(self.fleet(delays_ms), 'a1'), what)

    def test_balancer_that_would_ignore_it(self) -> None:
        # One more away would leave fewer than half of the zone ready.
        fleet = self.fleet(dict.fromkeys(('a0', 'a1', 'a2', 'a3'), 0.0))
        fleet.reports = {
            name: one._replace(away_until_ms=AWAY_MS if name in {'a1', 'a2'} else 0)
            for name, one in fleet.reports.items()
        }
        self.assertFalse(self.ask(fleet, 'a0', 100))

    def test_next_one_leaves_after_the_first_is_back(self) -> None:
        fleet = self.fleet({f'a{number}': 0.0 for number in range(7)})
        self.assertTrue(self.ask(fleet, 'a1'))
        self.assertFalse(self.ask(fleet, 'a2'))
        now_ms = AWAY_MS + 1
        for number in range(3, 7):
            fleet.record(GatewayLoad(f'a{number}', 'a', 0, False), now_ms)
        self.assertTrue(self.ask(fleet, 'a2', now_ms))

    def test_silent_gateways_have_no_room(self) -> None:
        fleet = self.fleet({'a1': BUSY_MS, 'a2': 0.0})
        self.assertFalse(self.ask(fleet, 'a1', REPORT_TRUST_MS + 1))

    def test_new_keeper_lets_nobody_leave(self) -> None:
        self.assertFalse(self.ask(FleetLoad(REGIONS), 'a1'))
