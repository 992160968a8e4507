"""Tests of decoding the objects of the operator and of upstream hosts."""

import json
from typing import Any

import testtools

from pollenwalk.errors import MalformedObject
from pollenwalk.platform.documents import decode_configuration, decode_host
from pollenwalk.version.organisations import Organisation
from pollenwalk.version.routes import CallKind, RoutingConfiguration, Share

HOST = {
    'service': 'huvo',
    'address': '10.128.0.9:8080',
    'zone': 'rimouski',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 4,
}
ROUTE = {
    'name': 'r1',
    'host': 'Ficu95.example',
    'path_prefix': '/pufi/',
    'kind': 'streaming',
    'timeout_ms': 3000,
    'target_latency_ms': 300,
    'priority': 0,
    'service': 'huvo',
    'max_attempts': 2,
    'retain_history': True,
    'retention_s': 60.0,
    'resumable': False,
    'gap_aim_ms': 150,
}
CONFIGURATION = {
    'version': 7,
    'routes': [
        ROUTE,
        {
            **ROUTE,
            'name': 'r2',
            'path_prefix': '/pufi/long/',
            'kind': 'unsafe',
            'service': None,
            'traffic_split': [
                {'service': 'huvo', 'weight': 90},
                {'service': 'wuno', 'weight': 0},
            ],
        },
    ],
    'services': [
        {
            'name': 'huvo',
            'max_conns': 140,
            'engine': {'slots': 8, 'kv_capacity': 97943, 'tokens_per_event': 14},
        },
        {'name': 'wuno', 'max_conns': 100},
    ],
    'limits': {'max_body_bytes': 4194304},
}


def without(document: dict[str, Any], key: str) -> dict[str, Any]:
    """Return a copy of a document without one key."""
    return {name: field for name, field in document.items() if name != key}


UNREADABLE_HOSTS = (
    b'',
    b'nonsense',
    b'\xff\xfe{}',
    b'null',
    b'[]',
    json.dumps(without(HOST, 'address')).encode(),
    json.dumps({**HOST, 'slots': 'eight'}).encode(),
    json.dumps({**HOST, 'state': 'resting'}).encode(),
    json.dumps({**HOST, 'address': 'nowhere'}).encode(),
    json.dumps({**HOST, 'service': 5}).encode(),
)


class HostsTest(testtools.TestCase):
    """Decoding the objects of upstream hosts."""

    def test_all_fields(self) -> None:
        host = decode_host('servers/i-1', json.dumps({**HOST, 'born': 5}).encode())
        self.assertEqual('i-1', host.id)
        self.assertEqual('10.128.0.9:8080', host.address)
        self.assertEqual(5, host.started_ms)
        self.assertFalse(host.leaving)
        self.assertEqual('v1', host.software_version)

    def test_draining_host_is_leaving(self) -> None:
        body = json.dumps({**HOST, 'state': 'draining'}).encode()
        self.assertTrue(decode_host('servers/i-1', body).leaving)

    def test_unreadable_objects_are_refused(self) -> None:
        for body in UNREADABLE_HOSTS:
            with testtools.ExpectedException(MalformedObject):
                decode_host('servers/i-1', body)


def decode(document: dict[str, Any]) -> RoutingConfiguration:
    """Decode a configuration."""
    return decode_configuration('config/main', json.dumps(document).encode())


class ConfigurationTest(testtools.TestCase):
    """Decoding the operator's configuration."""

    def test_organisations(self) -> None:
        tenant = {'name': 'hule', 'api_keys': ['k1'], 'rate_per_s': 5, 'burst': 2}
        document = {**CONFIGURATION, 'tenants': [{**tenant, 'priority': 1}, tenant]}
        document['tenants'][1] = {'name': 'none'}
        organisations = decode(document).organisations
        self.assertEqual(
            {'k1': Organisation('hule', ('k1',), 1, 5, 2)},
            organisations,
        )
        self.assertIsNone(decode(CONFIGURATION).organisations)

    def test_organisation_that_no_header_can_carry(self) -> None:
        """Its name would end the header and begin another one."""
        document = {**CONFIGURATION, 'tenants': [{'name': 'a\r\nb'}]}
        with testtools.ExpectedException(MalformedObject):
            decode(document)

    def test_fields_of_a_route(self) -> None:
        configuration = decode_configuration('c', json.dumps(CONFIGURATION).encode())
        self.assertEqual(7, configuration.version)
        short = configuration.match('ficu95.example:80', '/pufi/x')
        assert short is not None
        self.assertEqual('r1', short.name)
        self.assertEqual(CallKind.STREAM, short.kind)
        self.assertEqual(60_000, short.retention_ms)
        self.assertFalse(short.idempotent)
        self.assertEqual(14, configuration.tokens_per_event(short))

    def test_the_longest_prefix_wins(self) -> None:
        configuration = decode_configuration('c', json.dumps(CONFIGURATION).encode())
        longer = configuration.match('ficu95.example', '/pufi/long/x')
        assert longer is not None
        self.assertEqual('r2', longer.name)
        self.assertEqual((Share('huvo', 90),), longer.shares)

    def test_no_matching_route(self) -> None:
        configuration = decode_configuration('c', json.dumps(CONFIGURATION).encode())
        self.assertIsNone(configuration.match('ficu95.example', '/pufix'))
        self.assertIsNone(configuration.match('other.example', '/pufi/x'))

    def test_unreadable_configurations_are_refused(self) -> None:
        for broken in (
            without(CONFIGURATION, 'version'),
            {**CONFIGURATION, 'routes': [{**ROUTE, 'kind': 'magic'}]},
            {**CONFIGURATION, 'routes': [without(ROUTE, 'service')]},
        ):
            with testtools.ExpectedException(MalformedObject):
                decode_configuration('c', json.dumps(broken).encode())
