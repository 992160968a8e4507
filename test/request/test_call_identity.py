"""Which calls are taken for the same call made again, and which are told apart."""

from typing import NamedTuple

import testtools

from pollenwalk.request.call_identity import BEGINNING_BYTES, identify
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.http_messages import RequestMetadata
from pollenwalk.version.organisations import Organisation
from test.request.test_forwarding import ROUTE, make_call


class Same(NamedTuple):
    """What is the same in two calls.

    Attributes:
        whole: whether they are the same call.
        beginning: whether they begin in the same way.
    """

    whole: bool
    beginning: bool


SAME = Same(True, True)
DIFFERENT = Same(False, False)
LONG = b'x' * BEGINNING_BYTES


def make(
    body: bytes = b'',
    method: bytes = b'GET',
    target: bytes = b'/p/1?a=1&b=2',
    organisation: str = '',
    **metadata: str,
) -> Call:
    """Make a call."""
    call = make_call(ROUTE)
    request = call.request._replace(
        body=body,
        method=method,
        target=target,
        metadata=RequestMetadata(**{'id': 'i', **metadata}),
    )
    owner = Organisation(organisation) if organisation else None
    return call._replace(request=request, organisation=owner)


READ = make()
POST = make(b'body', b'POST')
TABLE = (
    ('another attempt', READ, make(id='j'), SAME),
    ('another program', READ, make(program='q', session='s'), SAME),
    ('another turn before', POST, make(b'body', b'POST', previous='t'), SAME),
    ('another key of an organisation', READ, make(api_key='k'), SAME),
    ('another path', READ, make(target=b'/p/2?a=1&b=2'), DIFFERENT),
    ('another query', READ, make(target=b'/p/1?a=1'), DIFFERENT),
    ('another order of the query', READ, make(target=b'/p/1?b=2&a=1'), DIFFERENT),
    ('another method', READ, make(method=b'HEAD'), DIFFERENT),
    ('another body', POST, make(b'other', b'POST'), DIFFERENT),
    ('a body beside none', READ, make(b'body'), DIFFERENT),
    ('another organisation', make(organisation='o'), make(organisation='q'), DIFFERENT),
    ('an organisation beside none', READ, make(organisation='o'), DIFFERENT),
    ('another end', make(LONG + b'1'), make(LONG + b'2'), Same(False, True)),
    ('an end beside none', make(LONG), make(LONG + b'2'), Same(False, True)),
    (
        'a part that moves into the next one',
        make(b'b', target=b'/p/a'),
        make(b'', target=b'/p/ab'),
        DIFFERENT,
    ),
)


class CallIdentityTest(testtools.TestCase):
    """One table of pairs of calls."""

    def test_pairs(self) -> None:
        for what, one, other, same in TABLE:
            first, second = identify(one), identify(other)
            found = Same(
                first.whole == second.whole,
                first.beginning == second.beginning,
            )
            self.assertEqual(same, found, what)

    def test_changes_of_the_configuration(self) -> None:
        # Guards against a count that begins anew when a route is renamed or moved.
        route = ROUTE._replace(name='renamed', path_prefix='/', timeout_ms=1)
        moved = READ._replace(route=route, upstream='other', version=2)
        self.assertEqual(identify(READ), identify(moved))

    def test_ways_to_write_the_host_name(self) -> None:
        for host in ('h', 'H', 'h:80'):
            request = READ.request._replace(host=host)
            self.assertEqual(identify(READ), identify(READ._replace(request=request)))
