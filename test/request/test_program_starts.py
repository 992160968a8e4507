"""Which calls begin a program, as far as one gateway can know."""

import testtools

from pollenwalk.request.gateway_call import Call
from pollenwalk.request.http_messages import Request, RequestMetadata
from pollenwalk.request.program_starts import ProgramStarts
from test.request.test_forwarding import ROUTE, STREAM


def make_call(program: str, streaming: bool = True, **fields: object) -> Call:
    """Return a call of a program."""
    metadata = RequestMetadata('r1', program=program, **fields)
    request = Request(b'GET', b'/', '/', 'h', [], b'', metadata, 0)
    return Call(request, STREAM if streaming else ROUTE, 'up', 1, 1000, 1)


class ProgramStartsTest(testtools.TestCase):
    """Calls of programs that have begun must not be refused as new ones."""

    def test_first_turn_begins_a_program_once(self) -> None:
        starts = ProgramStarts()
        call = make_call('p')
        # It was refused, and comes again.
        self.assertTrue(starts.begins_program(call))
        self.assertTrue(starts.begins_program(call))
        starts.admit(call)
        self.assertFalse(starts.begins_program(call))

    def test_other_calls_begin_no_program(self) -> None:
        calls = (
            make_call(''),
            make_call('a', streaming=False),
            make_call('b', previous='t1'),
            make_call('c', resumes=True),
        )
        starts = ProgramStarts()
        self.assertEqual([False] * 4, [starts.begins_program(one) for one in calls])
        self.assertFalse(starts.begins_program(make_call('a')))

    def test_the_number_of_programs_is_bounded(self) -> None:
        starts = ProgramStarts(max_programs=10)
        for number in range(100):
            starts.admit(make_call(f'p{number}'))
        self.assertEqual(10, len(starts.seen))
        self.assertTrue(starts.begins_program(make_call('p0')))
