"""Tests that encoded messages can be decoded and invalid data is refused."""

import hypothesis
import msgspec
import testtools
from hypothesis import strategies

from pollenwalk.connection import wire
from pollenwalk.connection.call_messages import Answer, Resolution, Tokens
from pollenwalk.connection.engine_http import EngineStreamParser
from pollenwalk.connection.fleet_messages import Beat
from pollenwalk.connection.journal_messages import WitnessAppend
from pollenwalk.connection.peer_messages import Hello
from pollenwalk.errors import Refusal
from pollenwalk.program.records import Ended, decode_records, encode_records

EXAMPLES = (
    Hello(1, 'abc', 2, 'rimouski'),
    Tokens(3, ['a ', 'b ']),
    Answer({'text': 'x', 'list': [1, None, 'é']}, 2, 1),
    Resolution('done'),
    Beat('abc', 7),
    WitnessAppend('abc', 1, 2, [b'\x00\xff']),
)


class WireTest(testtools.TestCase):
    """Tests of the encoding of messages, engine streams and journal records."""

    def test_round_trip(self) -> None:
        for message in EXAMPLES:
            frame = wire.Frame(5, type(message).__name__, message)
            self.assertEqual([frame], wire.decode_frames(wire.encode_frames([frame])))

    def test_datagram_round_trip(self) -> None:
        for message in EXAMPLES:
            payload = wire.encode_datagram(message)
            self.assertEqual(message, wire.decode_datagram(payload))

    @hypothesis.settings(derandomize=True, max_examples=300, database=None)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_random_bytes_are_refused(self, payload: bytes) -> None:
        for decode in (wire.decode_frames, wire.decode_datagram):
            try:
                decode(payload)
            except Refusal:
                continue

    @hypothesis.settings(derandomize=True, max_examples=200, database=None)
    @hypothesis.given(strategies.integers(0, 40), strategies.integers(0, 255))
    def test_damaged_message_is_refused(self, position: int, byte: int) -> None:
        payload = bytearray(wire.encode_datagram(EXAMPLES[0]))
        payload[position % len(payload)] = byte
        try:
            wire.decode_datagram(bytes(payload))
        except Refusal:
            return

    @hypothesis.settings(derandomize=True, max_examples=200, database=None)
    @hypothesis.given(strategies.binary(max_size=100))
    def test_random_bytes_of_an_engine_are_refused(self, payload: bytes) -> None:
        try:
            EngineStreamParser().parse_line(b'data: ' + payload)
        except Refusal:
            return

    @hypothesis.settings(derandomize=True, max_examples=200, database=None)
    @hypothesis.given(strategies.binary(max_size=100))
    def test_random_bytes_as_records_are_an_error(self, payload: bytes) -> None:
        try:
            decode_records(payload)
        except (msgspec.MsgspecError, KeyError):
            return

    def test_records_round_trip(self) -> None:
        records = [Ended('p')]
        self.assertEqual(records, decode_records(encode_records(records)))
