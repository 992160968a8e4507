"""The wire codec takes what it made and refuses noise."""

import hypothesis
import msgspec
import testtools
from hypothesis import strategies

from pollenwalk.connection import wire
from pollenwalk.connection.engine_http import StreamReader
from pollenwalk.errors import Refusal
from pollenwalk.program.records import Ended, decode_records, encode_records

EXAMPLES = (
    wire.Hello(1, 'abc', 2, 'rimouski'),
    wire.Tokens(3, ['a ', 'b ']),
    wire.Answer({'text': 'x', 'list': [1, None, 'é']}, 2, 1),
    wire.Resolution('done'),
    wire.Beat('abc', 7),
    wire.WitnessAppend('abc', 1, 2, [b'\x00\xff']),
)


class WireTest(testtools.TestCase):
    """Messages between processes."""

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
    def test_noise_is_refused(self, noise: bytes) -> None:
        for decode in (wire.decode_frames, wire.decode_datagram):
            try:
                decode(noise)
            except Refusal:
                continue

    @hypothesis.settings(derandomize=True, max_examples=200, database=None)
    @hypothesis.given(strategies.integers(0, 40), strategies.integers(0, 255))
    def test_damaged_message_is_refused(self, place: int, byte: int) -> None:
        payload = bytearray(wire.encode_datagram(EXAMPLES[0]))
        payload[place % len(payload)] = byte
        try:
            wire.decode_datagram(bytes(payload))
        except Refusal:
            return

    @hypothesis.settings(derandomize=True, max_examples=200, database=None)
    @hypothesis.given(strategies.binary(max_size=100))
    def test_engine_noise_is_refused(self, noise: bytes) -> None:
        try:
            StreamReader().parse_line(b'data: ' + noise)
        except Refusal:
            return

    @hypothesis.settings(derandomize=True, max_examples=200, database=None)
    @hypothesis.given(strategies.binary(max_size=100))
    def test_damaged_batch_is_an_error(self, noise: bytes) -> None:
        try:
            decode_records(noise)
        except (msgspec.MsgspecError, KeyError):
            return

    def test_records_round_trip(self) -> None:
        records = [Ended('p')]
        self.assertEqual(records, decode_records(encode_records(records)))
