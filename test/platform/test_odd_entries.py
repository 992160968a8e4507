"""Odd entries of other writers in the store: none may end a process or a watch."""

import asyncio
import json
import random
from typing import Any

import testtools
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from pollenwalk.connection.http_server import HttpServer, free_port
from pollenwalk.connection.tcp_network import TcpNetwork
from pollenwalk.connection.upstream_connection import open_upstream_connection
from pollenwalk.errors import ConnectionLost, MalformedObject, NotSent, StoreUnavailable
from pollenwalk.platform.documents import (
    CONFIGURATION_KEY,
    HOSTS_PREFIX,
    RETIREMENTS_PREFIX,
    decode_configuration,
    decode_host,
    decode_retirement,
)
from pollenwalk.platform.json_parts import split_elements, split_members
from pollenwalk.platform.objects import PlatformStore
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.gateway import Gateway, GatewaySettings
from pollenwalk.process.gateway_follower import FIRST_KEEPER_MS
from pollenwalk.process.keeper_members import KEEPERS_PREFIX, Members
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.store import StoredObject
from standin.platform.store import PlatformStoreApi
from standin.store import MemoryStore
from test.helper import make_clock, on_loop, virtual
from test.platform.test_documents import CONFIGURATION, HOST, ROUTE

DEPTH = 100_000
DEEP = b'[' * DEPTH + b']' * DEPTH
HUGE = '9' * 400
ENDLESS = '9' * 5000
MEMBER = {'name': 'k', 'address': '10.0.0.1:7000', 'zone': 'a', 'retiring': False}


def document(template: dict[str, Any], **changed: str) -> bytes:
    """Encode a document in which some fields are replaced by raw JSON."""
    fields = {name: json.dumps(field) for name, field in template.items()}
    fields.update(changed)
    members = (f'{json.dumps(name)}: {raw}' for name, raw in fields.items())
    return f'{{{", ".join(members)}}}'.encode('latin-1')


ODD_ADDRESSES = (
    '"10.0.0.1:0"',
    '"10.0.0.1:65536"',
    '"10.0.0.1:99999"',
    '"10.0.0.1:-1"',
    f'"10.0.0.1:{ENDLESS}"',
    '"10.0.0.1:８０"'.encode().decode('latin-1'),
    '":80"',
    '"80"',
    '"no address at all:80"',
    '5',
    'null',
    DEEP.decode(),
    '"\xff:80"',
)
ODD_NAMES = (
    '',
    'comptoir\u2013essai',
    'i-\xe9t\xe9',
    'i-1\r\nX-Other: 1',
    'i-1\n',
    'i 1',
    ' i-1',
    'i-1\x00',
    '\ud800',
    'i' * 10_000,
)
ODD_NUMBERS = (HUGE, ENDLESS, '-5', '1e999', '-1e999', '"8"', 'null', DEEP.decode())


def odd_hosts() -> list[bytes]:
    """Return registrations of which each has one odd field."""
    fields = {
        'address': (*ODD_ADDRESSES, '"nowhere:80"', '"10.0.0.999:80"'),
        'slots': (*ODD_NUMBERS, '0', 'NaN'),
        'cold_left_ms': (*ODD_NUMBERS, 'Infinity'),
        'born': ODD_NUMBERS,
        'seq': ODD_NUMBERS,
        'version': ('5', 'null', '[]'),
        'service': ('5', 'null', DEEP.decode()),
        'zone': ('5', 'null'),
        'state': ('5', '"resting"', 'null', '[]'),
        'unknown': (DEEP.decode(), 'NaN'),
    }
    return [
        document(HOST, **{name: raw}) for name, odd in fields.items() for raw in odd
    ]


class DecoderTest(testtools.TestCase):
    """Decoders either return what can be used or raise MalformedObject."""

    def test_odd_hosts_are_refused(self) -> None:
        for body in odd_hosts():
            with testtools.ExpectedException(MalformedObject):
                decode_host(f'{HOSTS_PREFIX}i-1', body)

    def test_hosts_that_lack_a_field_are_refused(self) -> None:
        # Guards against objects of other writers that are used as hosts.
        for field in HOST:
            fields = {name: HOST[name] for name in HOST if name != field}
            with testtools.ExpectedException(MalformedObject):
                decode_host(f'{HOSTS_PREFIX}i-1', json.dumps(fields).encode())

    def test_ids_that_no_header_can_carry_are_refused(self) -> None:
        # Guards against hosts to which no request can be written.
        for name in ODD_NAMES:
            with testtools.ExpectedException(MalformedObject):
                decode_host(f'{HOSTS_PREFIX}{name}', json.dumps(HOST).encode())

    def test_odd_keepers_are_ignored(self) -> None:
        bodies = [document(MEMBER, address=odd) for odd in ODD_ADDRESSES]
        bodies += [document(MEMBER, unknown=DEEP.decode()), DEEP, b'\xff', b'5', b'{}']
        bodies += [document(MEMBER, name='"other"'), document(MEMBER, retiring='7')]
        for body in bodies:
            members = Members()
            members.apply_change(StoredObject(f'{KEEPERS_PREFIX}k', body, 1))
            self.assertEqual({}, members.by_name, body[:60])

    def test_order_of_a_keepers_fields_does_not_matter(self) -> None:
        body = json.dumps(dict(reversed(MEMBER.items()))).encode()
        members = Members()
        members.apply_change(StoredObject(f'{KEEPERS_PREFIX}k', body, 1))
        self.assertEqual('10.0.0.1:7000', members.by_name['k'].address)

    def test_odd_configurations_are_refused(self) -> None:
        routes = [document(ROUTE, timeout_ms=odd) for odd in ODD_NUMBERS]
        bodies = [
            document(CONFIGURATION, routes=f'[{route.decode("latin-1")}]')
            for route in routes
        ]
        bodies += [document(CONFIGURATION, version=odd) for odd in ODD_NUMBERS]
        for body in bodies:
            with testtools.ExpectedException(MalformedObject):
                decode_configuration(CONFIGURATION_KEY, body)
        for odd in ODD_NUMBERS:
            with testtools.ExpectedException(MalformedObject):
                decode_retirement(
                    f'{RETIREMENTS_PREFIX}k', document({}, duration_s=odd)
                )

    @seed(1)
    @settings(
        max_examples=400,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.sampled_from(sorted(HOST)),
        st.one_of(
            st.integers(-(10**40), 10**40).map(str),
            st.floats().map(json.dumps),
            st.text(max_size=12).map(json.dumps),
            st.binary(max_size=12).map(lambda raw: raw.decode('latin-1')),
            st.integers(0, 200_000).map(lambda depth: '{"a":' * depth),
            st.integers(0, 200_000).map(lambda depth: '[' * depth + ']' * depth),
        ),
    )
    def test_any_field_may_hold_anything(self, name: str, raw: str) -> None:
        body = document(
            HOST, **{name: raw.encode('utf-8', 'replace').decode('latin-1')}
        )
        try:
            host = decode_host(f'{HOSTS_PREFIX}i-1', body)
        except MalformedObject:
            return
        self.assertTrue(1 <= host.slots < 10**6)
        ip, _, port = host.address.rpartition(':')
        self.assertTrue(ip and 0 < int(port) < 65_536)


class ConnectTest(testtools.TestCase):
    """An address that no socket takes is an unreachable one."""

    @on_loop
    async def test_odd_addresses_are_unreachable(self) -> None:
        for address in ('10.0.0.1:99999', f'10.0.0.1:{ENDLESS}', 'a..b:80', 'x'):
            with testtools.ExpectedException(NotSent):
                await open_upstream_connection(address, 0.5)
            with testtools.ExpectedException(ConnectionLost):
                await TcpNetwork().connect(address)


def odd_items() -> tuple[bytes, ...]:
    """Return raw items as a store may list them."""
    items = [
        b'{"metadata":{"name":"odd%d","revision":3},"spec":%s}' % (number, spec)
        for number, spec in enumerate((*odd_hosts(), DEEP, b'NaN', b'"\xff\xfe"'))
    ]
    nameless = (b'{"metadata":{"name":5}}', b'{"spec":{}}', b'7', DEEP, b'null')
    return (*items, *nameless)


class ListingTest(testtools.TestCase):
    """Pages with odd items over the platform's HTTP interface."""

    async def serve(self, page: bytes) -> PlatformStore:
        """Serve one answer to every request; return a client."""
        port = free_port()

        async def app(scope: Any, _: Any, send: Any) -> None:  # noqa: WPS430
            if scope['type'] != 'http':
                return
            headers = [(b'content-type', b'application/json')]
            await send(
                {'type': 'http.response.start', 'status': 200, 'headers': headers}
            )
            await send({'type': 'http.response.body', 'body': page})

        self.server = HttpServer(app, '127.0.0.1', port)
        await self.server.start()
        return PlatformStore(f'http://127.0.0.1:{port}')

    async def stop(self, store: PlatformStore) -> None:
        """Stop the client and the server."""
        await store.close()
        await self.server.stop()

    def good_item(self) -> bytes:
        """Return the item of a host that can be used."""
        spec = json.dumps(HOST).encode()
        return b'{"metadata":{"name":"good","revision":4},"spec":%s}' % spec

    @on_loop
    async def test_listing_gives_the_other_entries(self) -> None:
        items = b','.join((*odd_items(), self.good_item()))
        page = b'{"items":[%s],"truncated":false,"store_revision":9}' % items
        store = await self.serve(page)
        changes = await store.scan(HOSTS_PREFIX)
        await self.stop(store)
        by_key = {stored.key: stored for stored in changes.objects}
        self.assertEqual(9, changes.revision)
        self.assertEqual(HOST, json.loads(by_key['servers/good'].body))
        self.assertIn('servers/odd0', by_key)

    @on_loop
    async def test_watch_gives_the_other_changes(self) -> None:
        items = (*odd_items(), self.good_item())
        events = b','.join(b'{"object":%s,"tombstone":false}' % one for one in items)
        page = b'{"events":[%s],"store_revision":9}' % events
        store = await self.serve(page)
        changes = await store.watch(HOSTS_PREFIX, 1, 10)
        await self.stop(store)
        keys = [stored.key for stored in changes.objects]
        self.assertIn('servers/good', keys)
        self.assertEqual(9, changes.revision)

    @on_loop
    async def test_page_of_nameless_items_ends_no_listing(self) -> None:
        page = b'{"items":[7,{"metadata":5}],"truncated":true,"store_revision":9}'
        store = await self.serve(page)
        with testtools.ExpectedException(StoreUnavailable):
            await asyncio.wait_for(store.scan(HOSTS_PREFIX), 5)
        await self.stop(store)


class FollowTest(testtools.TestCase):
    """Processes go on following the store beside an odd entry."""

    @virtual
    async def test_failing_handler_does_not_end_the_watch(self) -> None:
        clock = make_clock()
        store = MemoryStore(clock)
        seen: list[str] = []

        def on_object(stored: StoredObject) -> None:  # noqa: WPS430
            if stored.body == b'odd':
                raise RecursionError
            seen.append(stored.key)

        watcher = PrefixWatcher(store, clock, 'a/', WatchHandlers(on_object))
        task = asyncio.ensure_future(watcher.run())
        for key, body in (('a/1', b'x'), ('a/2', b'odd'), ('a/3', b'x')):
            await store.put(key, body, None)
            await clock.sleep_ms(100)
        await store.put('a/4', b'x', None)
        await clock.sleep_ms(100)
        self.assertFalse(task.done())
        self.assertEqual(['a/1', 'a/3', 'a/4'], seen)

    @on_loop
    async def test_gateway_follows_hosts_beside_odd_ones(self) -> None:
        clock = LoopClock()
        memory = MemoryStore(clock)
        port = free_port()
        api = PlatformStoreApi(memory)
        server = HttpServer(api.app(), '127.0.0.1', port)
        await server.start()
        store = PlatformStore(f'http://127.0.0.1:{port}')
        options = GatewaySettings('g', 'a', {'a': 'east'}, 1, 3000, 3000)
        gateway = Gateway(options, store, TcpNetwork(), clock, random.Random(1))
        await gateway.start()
        moderate = b'[' * 900 + b']' * 900
        odd = document(HOST, unknown=moderate.decode())
        await memory.put('servers/deep', odd, None)
        await memory.put(
            'servers/port', document(HOST, address='"1.2.3.4:99999"'), None
        )
        # Without a keeper, hosts are read from the store after a while.
        await clock.sleep_ms(FIRST_KEEPER_MS + 200)
        await memory.put('servers/good', json.dumps(HOST).encode(), None)
        await clock.sleep_ms(500)
        self.assertIn('good', gateway.host_table.states)
        self.assertNotIn('port', gateway.host_table.states)
        await gateway.stop()
        await store.close()
        memory.closing = True
        await server.stop()


class JsonPartsTest(testtools.TestCase):
    """Splitting of JSON text that can't be decoded as a whole."""

    def test_parts(self) -> None:
        text = rb' {"a": [1, {"b": "]},"}], "c\"": NaN, "d":{} } '
        expected = {b'a': b'[1, {"b": "]},"}]', rb'c\"': b'NaN', b'd': b'{}'}
        self.assertEqual(expected, split_members(text))
        self.assertEqual([b'1', b'{"b": "]},"}'], split_elements(expected[b'a']))
        self.assertEqual([], split_elements(b'[]'))

    def test_cut_text_has_no_parts(self) -> None:
        text = b'{"a": [1, 2], "b": {"c": "x"}}'
        beginnings = (text[:length] for length, _ in enumerate(text))
        for cut in (*beginnings, b'%b{}' % text):
            self.assertEqual({}, split_members(cut), cut)
