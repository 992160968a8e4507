"""Tests of the callers' API over HTTP: answers to valid and invalid requests."""

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


class InvalidRequest(NamedTuple):
    """An invalid request and the status and code of the expected answer."""

    name: str
    body: Any
    status: int
    code: str
    headers: dict[str, str] = KEYED


INVALID_CALLS = (
    InvalidRequest('malformed JSON', b'{"sequence": 1,', 400, 'malformed'),
    InvalidRequest('no JSON object', b'[1, 2]', 400, 'malformed'),
    InvalidRequest(
        'not UTF-8', b'{"sequence": 1, "upstream": "\xff"}', 400, 'malformed'
    ),
    InvalidRequest('unknown field', {**CALL, 'extra': 1}, 400, 'malformed'),
    InvalidRequest('missing field', {'sequence': 1}, 400, 'malformed'),
    InvalidRequest('wrong type', {**CALL, 'sequence': 'one'}, 400, 'malformed'),
    InvalidRequest('no key', CALL, 400, 'key_missing', {}),
    InvalidRequest('long key', CALL, 400, 'malformed', {'Idempotency-Key': 'k' * 201}),
    InvalidRequest('sequence 0', {**CALL, 'sequence': 0}, 400, 'malformed'),
    InvalidRequest(
        'sequence far ahead', {**CALL, 'sequence': 900}, 409, 'sequence_gap'
    ),
    InvalidRequest(
        'unknown upstream', {**CALL, 'upstream': 'nope'}, 404, 'unknown_upstream'
    ),
    InvalidRequest(
        'undeclared upstream', {**CALL, 'upstream': 'ledger'}, 404, 'unknown_upstream'
    ),
    InvalidRequest(
        'unknown operation', {**CALL, 'operation': 'x'}, 404, 'unknown_operation'
    ),
    InvalidRequest('no message', {**CALL, 'input': {}}, 400, 'malformed'),
    InvalidRequest(
        'bad max_tokens',
        {**CALL, 'input': {'message': 'a', 'max_tokens': 0}},
        400,
        'malformed',
    ),
    InvalidRequest('bad deadline', {**CALL, 'deadline_ms': 0}, 400, 'malformed'),
    InvalidRequest('too large', b'x' * 1_000_001, 413, 'too_large'),
)
INVALID_BEGINS = (
    InvalidRequest('malformed JSON', b'{', 400, 'malformed'),
    InvalidRequest('unknown program', {'program': 'nope'}, 404, 'unknown_declaration'),
    InvalidRequest(
        'unknown parent',
        {'program': 'spares-dispatch', 'parent': 'p-1'},
        404,
        'unknown_program',
    ),
    InvalidRequest(
        'bad budget', {'program': 'spares-dispatch', 'budget': 0}, 400, 'malformed'
    ),
    InvalidRequest(
        'unknown field', {'program': 'spares-dispatch', 'x': 1}, 400, 'malformed'
    ),
)


class Client:
    """A caller of a running system with two entries."""

    def __init__(self, system: System, session: aiohttp.ClientSession) -> None:
        """Create a caller that uses `session`."""
        self.system = system
        self.session = session

    async def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        entry: int = 0,
    ) -> tuple[int, Any]:
        """Send a request to an entry; return the status and the JSON body."""
        payload = body if isinstance(body, bytes) or body is None else json.dumps(body)
        async with self.session.request(
            method,
            f'{self.system.urls[entry]}{path}',
            data=payload,
            headers=headers or {},
        ) as response:
            return response.status, json.loads(await response.read())

    async def begin(self, **body: Any) -> str:
        """Begin a program and return its id."""
        body = {'program': 'spares-dispatch', **body}
        status, view = await self.request('POST', '/v1/programs', body)
        assert status == 201, view
        return view['id']

    async def events(self, path: str, body: Any) -> list[tuple[str, Any]]:
        """Make a call and return its events as pairs of name and data."""
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
    """Run a test with a client of a small system that uses real sockets."""

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
    """Tests of the API; each starts a small system."""

    @served
    async def test_invalid_requests(self, client: Client) -> None:
        program = await client.begin()
        path = f'/v1/programs/{program}/calls'
        for invalid in INVALID_CALLS:
            status, answer = await client.request(
                'POST', path, invalid.body, invalid.headers
            )
            self.assertEqual(
                (invalid.status, invalid.code), (status, answer['code']), invalid.name
            )
            self.assertEqual('not_run', answer['outcome'], invalid.name)
        for invalid in INVALID_BEGINS:
            status, answer = await client.request('POST', '/v1/programs', invalid.body)
            self.assertEqual(
                (invalid.status, invalid.code), (status, answer['code']), invalid.name
            )
        status, answer = await client.request('POST', path, CALL, KEYED)
        self.assertEqual((200, 'ran'), (status, answer['outcome']))

    @served
    async def test_idempotency_keys_of_calls(self, client: Client) -> None:
        program = await client.begin()
        path = f'/v1/programs/{program}/calls'
        reserve = {
            'sequence': 1,
            'upstream': 'orders',
            'operation': 'reserve',
            'input': {'item': 'insert'},
        }
        first = await client.request('POST', path, reserve, KEYED)
        again = await client.request('POST', path, reserve, KEYED, entry=1)
        self.assertEqual(first, again)
        self.assertEqual(1, first[1]['output']['execution'])
        other = {**reserve, 'input': {'item': 'other'}}
        status, answer = await client.request('POST', path, other, KEYED)
        self.assertEqual((422, 'key_reused'), (status, answer['code']))
        taken = {'Idempotency-Key': 'k2'}
        status, answer = await client.request('POST', path, reserve, taken)
        self.assertEqual((409, 'sequence_taken'), (status, answer['code']))
        status, kept = await client.request('GET', f'{path}/k1', entry=1)
        self.assertEqual((200, first[1]['output']), (status, kept['output']))
        status, answer = await client.request('GET', f'{path}/k9')
        self.assertEqual((404, 'unknown_call'), (status, answer['code']))

    @served
    async def test_idempotency_keys_of_programs(self, client: Client) -> None:
        body = {'program': 'tea-chest'}
        answers = [
            await client.request('POST', '/v1/programs', body, KEYED, entry)
            for entry in (0, 1, 0)
        ]
        ids = {view['id'] for _, view in answers}
        self.assertEqual(1, len(ids))
        other = {'program': 'spares-dispatch'}
        status, answer = await client.request('POST', '/v1/programs', other, KEYED)
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
        status, answer = await client.request('POST', f'{path}?offset=x', CALL, KEYED)
        self.assertEqual((400, 'malformed'), (status, answer['code']))

    @served
    async def test_calls_run_in_sequence_until_the_end(self, client: Client) -> None:
        program = await client.begin(budget=500)
        path = f'/v1/programs/{program}/calls'
        second = client.request(
            'POST',
            path,
            {**CALL, 'sequence': 2},
            {'Idempotency-Key': 'k2'},
            entry=1,
        )
        waiting = asyncio.ensure_future(second)
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        first = await client.request('POST', path, CALL, KEYED)
        self.assertEqual((200, 200), (first[0], (await waiting)[0]))
        status, view = await client.request('GET', f'/v1/programs/{program}', entry=1)
        self.assertEqual(
            ['user', 'assistant'] * 2, [one['role'] for one in view['history']]
        )
        self.assertEqual(500, view['budget']['spent'] + view['budget']['left'])
        status, view = await client.request(
            'DELETE', f'/v1/programs/{program}', entry=1
        )
        self.assertEqual((200, 'ended'), (status, view['state']))
        status, answer = await client.request(
            'POST',
            path,
            {**CALL, 'sequence': 3},
            {'Idempotency-Key': 'k3'},
        )
        self.assertEqual((409, 'program_ended'), (status, answer['code']))
        status, answer = await client.request('GET', '/v1/programs/p-x-y')
        self.assertEqual((404, 'unknown_program'), (status, answer['code']))

    @served
    async def test_child_takes_budget_from_its_parent(self, client: Client) -> None:
        parent = await client.begin(budget=100)
        child = await client.begin(budget=60, parent=parent)
        body = {'program': 'spares-dispatch', 'budget': 60, 'parent': parent}
        status, answer = await client.request('POST', '/v1/programs', body)
        self.assertEqual((402, 'budget_exhausted'), (status, answer['code']))
        await client.request('DELETE', f'/v1/programs/{child}')
        status, answer = await client.request('POST', '/v1/programs', body)
        self.assertEqual(201, status)

    @served
    async def test_deadline_of_a_program(self, client: Client) -> None:
        program = await client.begin(deadline_ms=200)
        await asyncio.sleep(0.3)
        path = f'/v1/programs/{program}/calls'
        status, answer = await client.request('POST', path, CALL, KEYED)
        self.assertEqual((504, 'deadline'), (status, answer['code']))
        self.assertEqual('not_run', answer['outcome'])

    @served
    async def test_repeated_calls_reach_the_loop_limit(self, client: Client) -> None:
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
            _, answer = await client.request('POST', path, body, keyed)
            codes.append(answer.get('code', 'answered'))
        self.assertEqual(['answered'] * 20 + ['loop_limit'], codes)

    @served
    async def test_repeating_a_call_after_a_disconnect(self, client: Client) -> None:
        program = await client.begin()
        path = f'/v1/programs/{program}/calls'
        body = {**CALL, 'input': {'message': 'hi', 'max_tokens': 30}}
        asking = asyncio.ensure_future(client.request('POST', path, body, KEYED))
        await asyncio.sleep(0.1)
        asking.cancel()
        status, answer = await client.request('POST', path, body, KEYED, entry=1)
        self.assertEqual((200, 30), (status, answer['tokens']))
        self.assertEqual(1, sum(engine.taken for engine in client.system.engines))

    @served
    async def test_caller_that_reads_slowly(self, client: Client) -> None:
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
        status, answer = await client.request('GET', '/healthz')
        self.assertEqual((200, 'ok'), (status, answer['status']))

    @served
    async def test_readiness_and_metrics(self, client: Client) -> None:
        status, answer = await client.request('GET', '/readyz')
        self.assertEqual((200, True), (status, answer['ready']))
        async with client.session.get(f'{client.system.urls[0]}/metrics') as response:
            self.assertIn(b'pollenwalk_programs', await response.read())
