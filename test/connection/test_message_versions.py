"""Messages between processes of the present and of the former version.

Keepers are upgraded before gateways. So a keeper must read what a former gateway sends,
and answer it with no more fields than that gateway knows.
"""

import msgspec
import testtools

from pollenwalk.connection.message_types import DECODERS, MESSAGE_TYPES

# Fields of the former version's messages that a gateway sends to keepers.
FORMER_QUESTIONS = {
    'TurnRecord': 8,
    'ReserveTokens': 4,
    'Settlements': 1,
    'FindChain': 1,
    'ReadPrefix': 1,
    'StreamOrigin': 4,
    'FindStreamOrigin': 1,
    'RequestPermit': 2,
    'TellLimits': 2,
    'ExchangeLimits': 5,
    'GatewayLoad': 4,
}
# Fields of its answers from keepers.
FORMER_ANSWERS = {
    'Stored': 1,
    'Spent': 2,
    'Chain': 3,
    'Listing': 2,
    'FoundStreamOrigin': 1,
    'PermitDecision': 5,
    'KnownLimits': 5,
    'FleetState': 3,
    'Done': 0,
}


class MessageVersionsTest(testtools.TestCase):
    """Numbers of fields, which are the protocol."""

    def fields_of(self, kind: str) -> tuple[int, int]:
        """Return how many fields a message must have, and how many it may have."""
        message_type = next(one for one in MESSAGE_TYPES if one.__name__ == kind)
        fields = len(message_type._fields)
        return fields - len(message_type._field_defaults), fields

    def test_keeper_reads_what_former_gateways_send(self) -> None:
        for kind, former in FORMER_QUESTIONS.items():
            least, most = self.fields_of(kind)
            self.assertTrue(least <= former <= most, kind)

    def test_former_gateway_reads_the_answers(self) -> None:
        for kind, former in FORMER_ANSWERS.items():
            _, most = self.fields_of(kind)
            self.assertEqual(former, most, kind)

    def test_longer_messages_are_not_read(self) -> None:
        with testtools.ExpectedException(msgspec.ValidationError):
            DECODERS['Stored'].decode(msgspec.msgpack.encode([True, True]))
