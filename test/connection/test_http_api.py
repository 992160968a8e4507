"""The callers' API over real HTTP: each bad input, and what it answers."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import aiohttp
import testtools

from pollenwalk.connection.http_server import free_port
from standin.engine import EngineShape
from standin.system import Layout, Servers, System

LAYOUT = Layout(
    (Servers('advisory', ('rimouski',)), Servers('appraisal', ('rimouski',))),
    (Servers('orders', ('rimouski',)), Servers('ledger', ('rimouski',))),
    ('rimouski', 'saguenay'),
    'rimouski',
)
CALL = {
    'sequence': 1,
    'upstream': 'advisory',
    'operation': 'chat',
    'input': {'message': 'hello there', 'max_tokens': 4},
}
KEYED = {'Idempotency-Key': 'k1'}
EVENTS = {**KEYED, 'Accept': 'text/event-stream'}


class Bad(NamedTuple):
    """A bad request and the answer it must get."""

    name: str
    body: Any
    status: int
    code: str
    headers: dict[str, str] = KEYED


BAD_CALLS = (
    Bad('malformed JSON', b'{"sequence": 1,', 400, 'malformed'),
    Bad('no JSON object', b'[1, 2]', 400, 'malformed'),
    Bad('not UTF-8', b'{"sequence": 1, "upstream": "\xff"}', 400, 'malformed'),
    Bad('unknown field', {**CALL, 'extra': 1}, 400, 'malformed'),
    Bad('missing field', {'sequence': 1}, 400, 'malformed'),
    Bad('wrong type', {**CALL, 'sequence': 'one'}, 400, 'malformed'),
    Bad('no key', CALL, 400, 'key_missing', {}),
    Bad('long key', CALL, 400, 'malformed', {'Idempotency-Key': 'k' * 201}),
    Bad('sequence 0', {**CALL, 'sequence': 0}, 400, 'malformed'),
    Bad('sequence far ahead', {**CALL, 'sequence': 900}, 409, 'sequence_gap'),
    Bad('unknown upstream', {**CALL, 'upstream': 'nope'}, 404, 'unknown_upstream'),
    Bad('undeclared upstream', {**CALL, 'upstream': 'ledger'}, 404, 'unknown_upstream'),
    Bad('unknown operation', {**CALL, 'operation': 'x'}, 404, 'unknown_operation'),
    Bad('no message', {**CALL, 'input': {}}, 400, 'malformed'),
    Bad(
        'bad max_tokens',
        {**CALL, 'input': {'message': 'a', 'max_tokens': 0}},
        400,
        'malformed',
    ),
    Bad('bad deadline', {**CALL, 'deadline_ms': 0}, 400, 'malformed'),
    Bad('too large', b'x' * 1_000_001, 413, 'too_large'),
)
BAD_BEGINS = (
    Bad('malformed JSON', b'{', 400, 'malformed'),
    Bad('unknown program', {'program': 'nope'}, 404, 'unknown_declaration'),
    Bad(
        'unknown parent',
        {'program': 'spares-dispatch', 'parent': 'p-1'},
        404,
        'unknown_program',
    ),
    Bad('bad budget', {'program': 'spares-dispatch', 'budget': 0}, 400, 'malformed'),
    Bad('unknown field', {'program': 'spares-dispatch', 'x': 1}, 400, 'malformed'),
)


class Client:
    """A caller of a running system."""

    def __init__(self, system: System, session: aiohttp.ClientSession) -> None:
        """Talk to both entries."""
        self.system = system
        self.session = session

    async def ask(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        entry: int = 0,
    ) -> tuple[int, Any]:
        """Make one request and read its JSON."""
        payload = body if isinstance(body, bytes) or body is None else json.dumps(body)
        async with self.session.request(
            method,
            f'{self.system.urls[entry]}{path}',
            data=payload,
            headers=headers or {},
        ) as response:
            return response.status, json.loads(await response.read())

    async def begin(self, **body: Any) -> str:
        """Begin a program and give its id."""
        body = {'program': 'spares-dispatch', **body}
        status, view = await self.ask('POST', '/v1/programs', body)
        assert status == 201, view
        return view['id']

    async def events(self, path: str, body: Any) -> list[tuple[str, Any]]:
        """Make a call and read its events."""
        found = []
        async with self.session.post(
            f'{self.system.urls[0]}{path}',
            json=body,
            headers=EVENTS,
        ) as response:
            name = ''
            async for line in response.content:
                text = line.decode()
                if text.startswith('event: '):
                    name = text.removeprefix('event: ').strip()
                elif text.startswith('data: '):
                    found.append((name, json.loads(text.removeprefix('data: '))))
        return found


Case = Callable[[Any, Client], Coroutine[Any, Any, None]]


def served(case: Case) -> Callable[[Any], None]:
    """Run a test against a small system on real sockets."""

    async def work(self: Any) -> None:
        system = System(LAYOUT, 1, EngineShape())
        await system.start([free_port(), free_port()])
        async with aiohttp.ClientSession() as session:
            await case(self, Client(system, session))
        await system.stop()

    def wrapper(self: Any) -> None:
        asyncio.run(work(self))

    wrapper.__name__ = case.__name__
    return wrapper


class HttpApiTest(testtools.TestCase):
    """One small system for each test."""

    @served
    async def test_bad_input(self, client: Client) -> None:
        program = await client.begin()
        path = f'/v1/programs/{program}/calls'
        for bad in BAD_CALLS:
            status, answer = await client.ask('POST', path, bad.body, bad.headers)
            self.assertEqual((bad.status, bad.code), (status, answer['code']), bad.name)
            self.assertEqual('not_run', answer['outcome'], bad.name)
        for bad in BAD_BEGINS:
            status, answer = await client.ask('POST', '/v1/programs', bad.body)
            self.assertEqual((bad.status, bad.code), (status, answer['code']), bad.name)
        status, answer = await client.ask('POST', path, CALL, KEYED)
        self.assertEqual((200, 'ran'), (status, answer['outcome']))

    @served
    async def test_keys(self, client: Client) -> None:
        program = await client.begin()
        path = f'/v1/programs/{program}/calls'
        reserve = {
            'sequence': 1,
            'upstream': 'orders',
            'operation': 'reserve',
            'input': {'item': 'insert'},
        }
        first = await client.ask('POST', path, reserve, KEYED)
        again = await client.ask('POST', path, reserve, KEYED, entry=1)
        self.assertEqual(first, again)
        self.assertEqual(1, first[1]['output']['execution'])
        other = {**reserve, 'input': {'item': 'other'}}
        status, answer = await client.ask('POST', path, other, KEYED)
        self.assertEqual((422, 'key_reused'), (status, answer['code']))
        taken = {'Idempotency-Key': 'k2'}
        status, answer = await client.ask('POST', path, reserve, taken)
        self.assertEqual((409, 'sequence_taken'), (status, answer['code']))
        status, kept = await client.ask('GET', f'{path}/k1', entry=1)
        self.assertEqual((200, first[1]['output']), (status, kept['output']))
        status, answer = await client.ask('GET', f'{path}/k9')
        self.assertEqual((404, 'unknown_call'), (status, answer['code']))

    @served
    async def test_begin_repeats(self, client: Client) -> None:
        body = {'program': 'tea-chest'}
        answers = [
            await client.ask('POST', '/v1/programs', body, KEYED, entry)
            for entry in (0, 1, 0)
        ]
        ids = {view['id'] for _, view in answers}
        self.assertEqual(1, len(ids))
        other = {'program': 'spares-dispatch'}
        status, answer = await client.ask('POST', '/v1/programs', other, KEYED)
        self.assertEqual((422, 'key_reused'), (status, answer['code']))

    @served
    async def test_streams_and_offsets(self, client: Client) -> None:
        program = await client.begin()
        path = f'/v1/programs/{program}/calls'
        events = await client.events(path, CALL)
        texts: list[str] = []
        for name, body in events:
            if name == 'tokens':
                texts[body['offset'] :] = body['texts']
        self.assertEqual('answer', events[-1][0])
        self.assertEqual(events[-1][1]['output']['text'], ''.join(texts))
        replay = await client.events(f'{path}?offset=4', CALL)
        self.assertEqual(['answer'], [name for name, _ in replay])
        status, answer = await client.ask('POST', f'{path}?offset=x', CALL, KEYED)
        self.assertEqual((400, 'malformed'), (status, answer['code']))

    @served
    async def test_order_and_end(self, client: Client) -> None:
        program = await client.begin(budget=500)
        path = f'/v1/programs/{program}/calls'
        second = client.ask(
            'POST',
            path,
            {**CALL, 'sequence': 2},
            {'Idempotency-Key': 'k2'},
            entry=1,
        )
        waiting = asyncio.ensure_future(second)
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        first = await client.ask('POST', path, CALL, KEYED)
        self.assertEqual((200, 200), (first[0], (await waiting)[0]))
        status, view = await client.ask('GET', f'/v1/programs/{program}', entry=1)
        self.assertEqual(
            ['user', 'assistant'] * 2, [one['role'] for one in view['history']]
        )
        self.assertEqual(500, view['budget']['spent'] + view['budget']['left'])
        status, view = await client.ask('DELETE', f'/v1/programs/{program}', entry=1)
        self.assertEqual((200, 'ended'), (status, view['state']))
        status, answer = await client.ask(
            'POST',
            path,
            {**CALL, 'sequence': 3},
            {'Idempotency-Key': 'k3'},
        )
        self.assertEqual((409, 'program_ended'), (status, answer['code']))
        status, answer = await client.ask('GET', '/v1/programs/p-x-y')
        self.assertEqual((404, 'unknown_program'), (status, answer['code']))

    @served
    async def test_child_carves_budget(self, client: Client) -> None:
        parent = await client.begin(budget=100)
        child = await client.begin(budget=60, parent=parent)
        body = {'program': 'spares-dispatch', 'budget': 60, 'parent': parent}
        status, answer = await client.ask('POST', '/v1/programs', body)
        self.assertEqual((402, 'budget_exhausted'), (status, answer['code']))
        await client.ask('DELETE', f'/v1/programs/{child}')
        status, answer = await client.ask('POST', '/v1/programs', body)
        self.assertEqual(201, status)

    @served
    async def test_deadline_of_a_program(self, client: Client) -> None:
        program = await client.begin(deadline_ms=200)
        await asyncio.sleep(0.3)
        path = f'/v1/programs/{program}/calls'
        status, answer = await client.ask('POST', path, CALL, KEYED)
        self.assertEqual((504, 'deadline'), (status, answer['code']))
        self.assertEqual('not_run', answer['outcome'])

    @served
    async def test_looping_program(self, client: Client) -> None:
        program = await client.begin()
        path = f'/v1/programs/{program}/calls'
        codes = []
        for sequence in range(1, 22):
            body = {
                'sequence': sequence,
                'upstream': 'orders',
                'operation': 'lookup',
                'input': {'item': 'insert'},
            }
            keyed = {'Idempotency-Key': f'k{sequence}'}
            _, answer = await client.ask('POST', path, body, keyed)
            codes.append(answer.get('code', 'answered'))
        self.assertEqual(['answered'] * 20 + ['loop_limit'], codes)

    @served
    async def test_vanishing_caller(self, client: Client) -> None:
        program = await client.begin()
        path = f'/v1/programs/{program}/calls'
        body = {**CALL, 'input': {'message': 'hi', 'max_tokens': 30}}
        asking = asyncio.ensure_future(client.ask('POST', path, body, KEYED))
        await asyncio.sleep(0.1)
        asking.cancel()
        status, answer = await client.ask('POST', path, body, KEYED, entry=1)
        self.assertEqual((200, 30), (status, answer['tokens']))
        self.assertEqual(1, sum(engine.taken for engine in client.system.engines))

    @served
    async def test_slow_caller(self, client: Client) -> None:
        program = await client.begin()
        path = f'/v1/programs/{program}/calls'
        body = {**CALL, 'input': {'message': 'hi', 'max_tokens': 40}}
        async with client.session.post(
            f'{client.system.urls[0]}{path}',
            json=body,
            headers=EVENTS,
        ) as response:
            await response.content.readany()
            await asyncio.sleep(0.6)
            rest = await response.read()
        self.assertIn(b'event: answer', rest)
        self.assertIn(b':39 ', rest)

    @served
    async def test_long_headers_are_refused(self, client: Client) -> None:
        url = f'{client.system.urls[0]}/healthz'
        async with client.session.get(
            url, headers={'X-Long': 'x' * 70_000}
        ) as response:
            self.assertGreaterEqual(response.status, 400)
        status, answer = await client.ask('GET', '/healthz')
        self.assertEqual((200, 'ok'), (status, answer['status']))

    @served
    async def test_operators_paths(self, client: Client) -> None:
        status, answer = await client.ask('GET', '/readyz')
        self.assertEqual((200, True), (status, answer['ready']))
        async with client.session.get(f'{client.system.urls[0]}/metrics') as response:
            self.assertIn(b'pollenwalk_programs', await response.read())
