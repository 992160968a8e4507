"""Gateways that share the limit of a host, counted at the host.

Gateways, a keeper and hosts talk over loopback; hosts and the configuration are
read from a store.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from typing import Any

import testtools

from pollenwalk.errors import BrokenAnswer, Refusal
from pollenwalk.process.gateway import Gateway
from standin.platform.host import SIGNED, Line, Received, answer
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
CONFIGURATION = {
    'version': 1,
    'routes': [ROUTE],
    'services': [{'name': 'up', 'max_conns': 100}],
    'limits': {'max_body_bytes': 1000},
}
WINDOW_S = 4.0
# Requests beyond the limit that a host bears in each window, as a factor and a number.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
# Time from the first answer with a limit until the limit must be kept.
NEWS_S = 0.5
LIMIT_PER_S = 4.0
# Calls a second at each gateway: uneven, and many times the limit.
DEMAND_PER_S = (36.0, 12.0, 6.0, 2.0)


class LimitingScript:
    """Answers with a limit and notes when requests arrive.

    Attributes:
        field: the value of the header with the limit; None for no header.
        arrivals_s: when requests arrived, on the loop's clock.
    """

    def __init__(self, field: str | None) -> None:
        """Name a limit from the first answer on."""
        self.field = field
        self.arrivals_s: list[float] = []

    async def __call__(self, line: Line, request: Received) -> None:
        """Answer one request."""
        self.arrivals_s.append(asyncio.get_running_loop().time())
        named = (
            b'' if self.field is None else f'Server-Limit: {self.field}\r\n'.encode()
        )
        line.say(answer(request, more=SIGNED + named))


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

    async def call(self, gateway: Gateway, attempt: str) -> Any:
        """Make one call; return its error, or None if it was answered."""
        reply = RecordedReply()
        try:
            await gateway.handle(self.make_request('/safe/1', attempt), reply)
        except (BrokenAnswer, Refusal) as error:
            return error
        return None

    async def load(
        self, gateway: Gateway, name: str, per_second: float, duration_s: float
    ) -> list[Any]:
        """Make calls at a rate for some time; return their errors, None for answers."""
        calls = []
        for number in range(round(per_second * duration_s)):
            calls.append(asyncio.ensure_future(self.call(gateway, f'{name}-{number}')))
            await asyncio.sleep(1 / per_second)
        return await asyncio.gather(*calls)

    async def load_all(
        self, gateways: list[Gateway], demand_per_s: Sequence[float], duration_s: float
    ) -> list[Any]:
        """Make calls at all gateways at once, each at its rate."""
        loads = (
            self.load(gateway, f'r{index}', per_second, duration_s)
            for index, (gateway, per_second) in enumerate(
                zip(gateways, demand_per_s, strict=True)
            )
        )
        return [one for part in await asyncio.gather(*loads) for one in part]


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
