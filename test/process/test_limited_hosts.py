"""Gateways that share the limit of a host, counted at the host.

Gateways, a keeper and hosts talk over loopback; hosts and the configuration are
read from a store.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterable, Sequence
from itertools import chain, count, cycle
from typing import NamedTuple

import testtools

from pollenwalk.errors import BrokenAnswer, Refusal, RefusalCode
from pollenwalk.process.gateway import Gateway
from pollenwalk.process.permit_allocator import SETTLE_MS
from pollenwalk.request.http_messages import Request
from standin.platform.host import (
    SIGNED,
    Line,
    Received,
    answer,
    chunk,
    event,
    stream_head,
)
from test.helper import on_loop
from test.process.test_stream_versions import NEAR, Upstream
from test.request.test_forwarding import RecordedReply

ROUTE = {
    'name': 'safe',
    'host': 'h',
    'path_prefix': '/safe/',
    'kind': 'safe',
    'timeout_ms': 1500,
    'target_latency_ms': 300,
    'service': 'up',
    'max_attempts': 2,
}
URGENT = {**ROUTE, 'name': 'urgent', 'path_prefix': '/urgent/', 'priority': 0}
OTHER = {**ROUTE, 'name': 'other', 'path_prefix': '/other/', 'priority': 3}
CHAT = {
    **ROUTE,
    'name': 'chat',
    'path_prefix': '/chat/',
    'kind': 'streaming',
    'priority': 0,
}
CONFIGURATION = {
    'version': 1,
    'routes': [ROUTE, URGENT, OTHER, CHAT],
    'services': [{'name': 'up', 'max_conns': 100}],
    'limits': {'max_body_bytes': 1000},
}
WINDOW_S = 4.0
# Requests beyond the limit that a host bears in each window, as a factor and a number.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
# Time from the first answer with a limit until the limit must be kept.
NEWS_S = 0.5
LINE_END = b'\r\n'
LIMIT_PER_S = 4.0
# Calls a second at each gateway: uneven, and many times the limit.
DEMAND_PER_S = (36.0, 12.0, 6.0, 2.0)
# Share of the limit that callers must get while there is demand.
WANTED_USE = 0.9
# A refusal is sent at once: without waiting for a permit, a host or a deadline.
AT_ONCE_MS = 150.0
BUDGET_TOKENS = 100_000
MAX_TOKENS = 20
NUMBERS = count()


class Ended(NamedTuple):
    """How a call ended for its caller.

    Attributes:
        error: the refusal; None for an answer.
        took_ms: time until the end.
    """

    error: Exception | None
    took_ms: float


class LimitingScript:
    """Answers with a limit and notes when requests arrive.

    Attributes:
        field: the value of the header with the limit; None for no header.
        status: the status of answers that are no streams.
        more: headers of these answers besides the limit.
        arrivals_s: when requests arrived, on the loop's clock.
    """

    def __init__(self, field: str | None) -> None:
        """Name a limit from the first answer on."""
        self.field = field
        self.status = '200 OK'
        self.more = SIGNED
        self.arrivals_s: list[float] = []

    async def __call__(self, line: Line, request: Received) -> None:
        """Answer one request."""
        self.arrivals_s.append(asyncio.get_running_loop().time())
        named = (
            b'' if self.field is None else f'Server-Limit: {self.field}\r\n'.encode()
        )
        if request.target.startswith('/chat/'):
            head = stream_head(request)[: -len(LINE_END)] + named + LINE_END
            line.say(head + chunk(event(1)) + chunk(b''))
        else:
            line.say(answer(request, status=self.status, more=self.more + named))


class LimitedUpstream(Upstream):
    """An upstream whose first host names a limit."""

    def __init__(self, field: str | None) -> None:
        """Create a system without processes."""
        super().__init__()
        self.script = LimitingScript(field)

    async def start(self) -> None:
        """Start the keeper and the host that names a limit."""
        await self.keeper.start()
        await self.write('config/main', CONFIGURATION)
        await self.add_host('limited', 'v1', NEAR, self.script)

    async def start_gateways(self, count: int) -> list[Gateway]:
        """Start gateways and wait until all are ready."""
        return [await self.start_gateway(f'g{index}') for index in range(count)]

    async def call(self, gateway: Gateway, request: Request) -> 'Ended':
        """Make one call and return how it ended for its caller."""
        error = None
        try:
            await gateway.handle(request, RecordedReply())
        except (BrokenAnswer, Refusal) as caught:
            error = caught
        return Ended(error, self.clock.now_ms() - request.arrived_ms)

    async def load(
        self, gateway: Gateway, path: str, per_second: float, duration_s: float
    ) -> list['Ended']:
        """Make calls at a rate for some time; return how they ended."""
        calls = []
        for _ in range(round(per_second * duration_s)):
            request = self.make_request(path, f'r{next(NUMBERS)}')
            calls.append(asyncio.ensure_future(self.call(gateway, request)))
            await asyncio.sleep(1 / per_second)
        return await asyncio.gather(*calls)

    async def load_all(
        self,
        gateways: list[Gateway],
        demand_per_s: Sequence[float],
        duration_s: float,
        path: str = '/safe/1',
    ) -> list['Ended']:
        """Make calls at all gateways at once, each at its rate."""
        loads = (
            self.load(gateway, path, per_second, duration_s)
            for gateway, per_second in zip(gateways, demand_per_s, strict=True)
        )
        return list(chain(*await asyncio.gather(*loads)))

    def make_turn(self, program: str) -> Request:
        """Return a turn of a program with a token budget."""
        request = self.make_request('/chat/1', f't{next(NUMBERS)}')
        metadata = request.metadata._replace(
            program=program, budget=BUDGET_TOKENS, max_tokens=MAX_TOKENS
        )
        return request._replace(metadata=metadata)

    async def start_programs(
        self, gateways: list[Gateway], programs: Iterable[str], pause_s: float
    ) -> list['Ended']:
        """Make one turn of each program, at the gateways in turn, with pauses."""
        turns = []
        for gateway, program in zip(cycle(gateways), programs, strict=False):
            turn = self.call(gateway, self.make_turn(program))
            turns.append(asyncio.ensure_future(turn))
            await asyncio.sleep(pause_s)
        return await asyncio.gather(*turns)


@contextlib.asynccontextmanager
async def started(field: str | None) -> AsyncIterator[LimitedUpstream]:
    """Start a system without gateways; stop it afterwards."""
    upstream = LimitedUpstream(field)
    await upstream.start()
    try:
        yield upstream
    finally:
        await upstream.stop()


def most_in_window(arrivals_s: list[float], since_s: float) -> int:
    """Return the most arrivals within WINDOW_S, from a time on."""
    counted = [at_s for at_s in arrivals_s if at_s >= since_s]
    return max(
        (
            sum(begin_s <= at_s < begin_s + WINDOW_S for at_s in counted)
            for begin_s in counted
        ),
        default=0,
    )


def allowed(limit_per_s: float) -> float:
    """Return how many requests a host that names a limit bears in a window."""
    return ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_EXTRA


class SharedLimitTest(testtools.TestCase):
    """The sum of what all gateways send to a host that has named a limit."""

    def check_window(self, upstream: LimitedUpstream, limit_per_s: float) -> None:
        """Check that the host got no more than it bears."""
        arrivals_s = upstream.script.arrivals_s
        most = most_in_window(arrivals_s, arrivals_s[0] + NEWS_S)
        self.assertTrue(most <= allowed(limit_per_s), most)

    @on_loop
    async def test_four_gateways_with_uneven_demand(self) -> None:
        async with started(str(LIMIT_PER_S)) as upstream:
            gateways = await upstream.start_gateways(len(DEMAND_PER_S))
            await upstream.load_all(gateways, DEMAND_PER_S, NEWS_S + WINDOW_S)
            self.check_window(upstream, LIMIT_PER_S)


class CallersTest(testtools.TestCase):
    """What callers get while a limit is used up."""

    async def warm_up(self, upstream: LimitedUpstream) -> list[Gateway]:
        """Start gateways and wait until permits are given."""
        gateways = await upstream.start_gateways(len(DEMAND_PER_S))
        await asyncio.sleep(SETTLE_MS / 1000)
        await upstream.call(gateways[0], upstream.make_request('/safe/1', 'first'))
        await asyncio.sleep(NEWS_S)
        return gateways

    @on_loop
    async def test_answered_in_time_or_refused_at_once(self) -> None:
        async with started(str(LIMIT_PER_S)) as upstream:
            gateways = await self.warm_up(upstream)
            ended = await upstream.load_all(gateways, DEMAND_PER_S, WINDOW_S)
        answered = [one for one in ended if one.error is None]
        refused = [one for one in ended if one.error is not None]
        wanted = WANTED_USE * LIMIT_PER_S * WINDOW_S
        self.assertTrue(len(answered) >= wanted, len(answered))
        self.assertTrue(all(one.took_ms < AT_ONCE_MS for one in refused), refused)
        codes = {one.error.code for one in refused}
        self.assertEqual({RefusalCode.HOST_LIMITS}, codes)

    @on_loop
    async def test_limit_in_an_answer_of_another_host(self) -> None:
        for more in (b'X-Pollenwalk-Not-Executed: 1\r\n', b''):
            async with started(None) as upstream:
                gateway = await upstream.start_gateway('g')
                upstream.script.status = '421 Misdirected Request'
                upstream.script.more = more
                upstream.script.field = '1'
                await upstream.call(gateway, upstream.make_request('/safe/1', 'r'))
                self.assertEqual([], gateway.host_table.limits.limited())

    @on_loop
    async def test_unsigned_answer_does_not_end_a_limit(self) -> None:
        async with started('5') as upstream:
            gateway = await upstream.start_gateway('g')
            await upstream.call(gateway, upstream.make_request('/safe/1', 'r1'))
            upstream.script.more = b''
            upstream.script.field = None
            await asyncio.sleep(SETTLE_MS / 1000 + NEWS_S)
            await upstream.call(gateway, upstream.make_request('/safe/1', 'r2'))
            self.assertTrue(len(upstream.script.arrivals_s) > 1)
            self.assertEqual(1, len(gateway.host_table.limits.limited()))

    @on_loop
    async def test_refusal_names_a_limit(self) -> None:
        async with started('5') as upstream:
            gateway = await upstream.start_gateway('g')
            upstream.script.status = '503 Service Unavailable'
            upstream.script.more = b'X-Pollenwalk-Not-Executed: 1\r\n'
            await upstream.call(gateway, upstream.make_request('/safe/1', 'r1'))
            self.assertEqual(1, len(gateway.host_table.limits.limited()))

    @on_loop
    async def test_refused_callers_return_one_after_the_other(self) -> None:
        async with started(str(LIMIT_PER_S)) as upstream:
            gateways = await self.warm_up(upstream)
            ended = await upstream.load(gateways[0], '/safe/1', 100, 0.5)
        returns_ms = [
            one.error.retry_after_ms for one in ended if one.error is not None
        ]
        # Permits come free every 250 ms; so many callers can't all return at once.
        spread_ms = max(returns_ms) - min(returns_ms)
        interval_ms = 1000 / LIMIT_PER_S
        self.assertTrue(spread_ms >= interval_ms * (len(returns_ms) - 5), returns_ms)

    @on_loop
    async def test_calls_find_a_host_without_a_limit(self) -> None:
        async with started(str(LIMIT_PER_S)) as upstream:
            other = LimitingScript(None)
            await upstream.add_host('other', 'v1', NEAR, other)
            gateways = await self.warm_up(upstream)
            ended = await upstream.load_all(gateways, DEMAND_PER_S, WINDOW_S / 2)
        self.assertEqual([], [one.error for one in ended if one.error is not None])
        slowest_ms = max(one.took_ms for one in ended)
        self.assertTrue(slowest_ms < AT_ONCE_MS, slowest_ms)
        self.assertTrue(other.arrivals_s)

    @on_loop
    async def test_urgent_calls_go_first(self) -> None:
        async with started('8') as upstream:
            gateways = await self.warm_up(upstream)
            urgent, other = await asyncio.gather(
                upstream.load(gateways[0], '/urgent/1', 8, WINDOW_S),
                upstream.load(gateways[1], '/other/1', 40, WINDOW_S),
            )
        served = sum(one.error is None for one in urgent) / len(urgent)
        others_served = sum(one.error is None for one in other) / len(other)
        self.assertTrue(served >= WANTED_USE, (served, others_served))
        self.assertTrue(others_served < served / 2, (served, others_served))

    @on_loop
    async def test_begun_programs_go_before_new_ones(self) -> None:
        begun = [f'begun-{number}' for number in range(24)]
        new = [f'new-{number}' for number in range(80)]
        async with started(None) as upstream:
            gateways = await upstream.start_gateways(2)
            await asyncio.sleep(SETTLE_MS / 1000)
            await upstream.start_programs(gateways, begun, 0)
            upstream.script.field = '10'
            await upstream.call(gateways[0], upstream.make_turn('first'))
            await asyncio.sleep(2 * NEWS_S)
            old_turns, first_turns = await asyncio.gather(
                upstream.start_programs(gateways, begun, 0.1),
                upstream.start_programs(gateways, new, 0.03),
            )
        served = sum(one.error is None for one in old_turns)
        new_served = sum(one.error is None for one in first_turns)
        self.assertTrue(served >= WANTED_USE * len(begun), (served, new_served))
        self.assertTrue(new_served / len(new) < 0.5, (served, new_served))
