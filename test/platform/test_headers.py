"""Tests of decoding and encoding the platform's headers."""

import testtools

from pollenwalk.platform.headers import (
    MAX_LIMIT_PER_S,
    added_headers,
    forwardable_headers,
    read_answer_head,
    read_request_metadata,
    retry_header,
)
from pollenwalk.request.http_messages import Framing, PromptPart


class RequestMetadataTest(testtools.TestCase):
    """Decoding the headers of a request."""

    def test_all_headers(self) -> None:
        metadata = read_request_metadata(
            [
                (b'x-pollenwalk-request-id', b'9c41'),
                (b'x-pollenwalk-deadline-ms', b'3000'),
                (b'x-pollenwalk-program-id', b'p1'),
                (b'x-pollenwalk-session-id', b's1'),
                (b'x-pollenwalk-program-deadline-ms', b'5200'),
                (b'x-pollenwalk-token-budget', b'2240'),
                (b'x-pollenwalk-token-usage', b'1840,280'),
                (b'x-pollenwalk-length-hint', b'90'),
                (b'x-pollenwalk-prompt-prefix', b'5c1e:800,91bd:410'),
                (b'x-pollenwalk-previous-turn', b'e5b2'),
                (b'last-event-id', b'12'),
                (b'resumes', b'77aa'),
                (b'x-pollenwalk-affinity-key', b'obj-7'),
            ],
        )
        self.assertEqual('9c41', metadata.id)
        self.assertEqual('obj-7', metadata.affinity)
        self.assertEqual(3000, metadata.deadline_ms)
        self.assertEqual(('p1', 's1'), (metadata.program, metadata.session))
        self.assertEqual(5200, metadata.program_remaining_ms)
        self.assertEqual(2240, metadata.budget)
        self.assertEqual((1840, 280), (metadata.prompt_tokens, metadata.max_tokens))
        self.assertEqual(90, metadata.expected_tokens)
        self.assertEqual(
            (PromptPart('5c1e', 800), PromptPart('91bd', 410)),
            metadata.prompt_parts,
        )
        self.assertEqual('e5b2', metadata.previous)
        self.assertTrue(metadata.resumes)
        self.assertEqual('77aa', metadata.resumed_attempt)

    def test_missing_and_malformed_headers(self) -> None:
        empty = read_request_metadata([])
        self.assertIsNone(empty.deadline_ms)
        self.assertIsNone(empty.budget)
        malformed = read_request_metadata(
            [
                (b'x-pollenwalk-deadline-ms', b'soon'),
                (b'x-pollenwalk-token-usage', b'many'),
                (b'x-pollenwalk-prompt-prefix', b',,:'),
            ],
        )
        self.assertIsNone(malformed.deadline_ms)
        self.assertEqual(0, malformed.max_tokens)


class ForwardedHeadersTest(testtools.TestCase):
    """Headers that are forwarded to an upstream host."""

    def test_hop_by_hop_and_reserved_headers_are_removed(self) -> None:
        received = [
            (b'host', b'a.example'),
            (b'connection', b'close, X-Hop'),
            (b'x-hop', b'1'),
            (b'transfer-encoding', b'chunked'),
            (b'content-length', b'3'),
            (b'x-pollenwalk-deadline-ms', b'3000'),
            (b'x-pollenwalk-hold', b'h'),
            (b'x-pollenwalk-pin-ms', b'1'),
            (b'x-pollenwalk-kv-backup', b'a:1'),
            (b'kv-from', b'a:1/2'),
            (b'x-pollenwalk-expect-instance', b'forged'),
            (b'x-pollenwalk-tenant', b'forged'),
            (b'x-pollenwalk-credential', b'k1'),
            (b'x-pollenwalk-request-id', b'9c41'),
            (b'accept', b'text/event-stream'),
        ]
        self.assertEqual(
            [
                (b'host', b'a.example'),
                (b'x-pollenwalk-request-id', b'9c41'),
                (b'accept', b'text/event-stream'),
            ],
            forwardable_headers(received),
        )

    def test_added_headers(self) -> None:
        self.assertEqual(
            [
                (b'x-pollenwalk-expect-instance', b'i-1'),
                (b'x-pollenwalk-deadline-ms', b'1499'),
                (b'x-pollenwalk-request-priority', b'3'),
            ],
            added_headers('i-1', 1499.9, 3),
        )

    def test_organisation_is_added(self) -> None:
        added = added_headers('i-1', 1000, None, 'acme')
        self.assertIn((b'x-pollenwalk-tenant', b'acme'), added)

    def test_two_different_keys_are_none(self) -> None:
        """Which of them a caller means must not depend on their order."""
        one = (b'x-pollenwalk-credential', b'k1 ')
        other = (b'x-pollenwalk-credential', b'k2')
        self.assertEqual('k1', read_request_metadata([one, one]).api_key)
        self.assertEqual('', read_request_metadata([one, other]).api_key)

    def test_retry_after_is_in_seconds(self) -> None:
        self.assertEqual((b'retry-after', b'0.250'), retry_header(250))


NOT_FINITE = (b'nan', b'inf', b'-inf', b'1e400')


class NotFiniteTest(testtools.TestCase):
    """Numbers in headers that no whole number can hold."""

    def test_request_with_numbers_that_are_not_finite(self) -> None:
        for text in NOT_FINITE:
            metadata = read_request_metadata(
                [
                    (b'x-pollenwalk-deadline-ms', text),
                    (b'x-pollenwalk-program-deadline-ms', text),
                    (b'x-pollenwalk-token-budget', text),
                    (b'x-pollenwalk-token-usage', text + b',' + text),
                    (b'x-pollenwalk-length-hint', text),
                    (b'x-pollenwalk-prompt-prefix', b'5c1e:' + text),
                ],
            )
            self.assertIsNone(metadata.deadline_ms)
            self.assertIsNone(metadata.program_remaining_ms)
            self.assertIsNone(metadata.budget)
            self.assertEqual((0, 0), (metadata.prompt_tokens, metadata.max_tokens))
            self.assertEqual(0, metadata.expected_tokens)
            self.assertEqual((PromptPart('5c1e', 0),), metadata.prompt_parts)

    def test_answer_with_numbers_that_are_not_finite(self) -> None:
        for text in NOT_FINITE:
            head = read_answer_head(
                200,
                [
                    (b'x-pollenwalk-server-load', text + b',1,8'),
                    (b'keep-alive', b'timeout=' + text),
                    (b'retry-after', text),
                ],
            )
            self.assertIsNone(head.load)
            self.assertIsNone(head.keep_alive_ms)
            self.assertIsNone(head.retry_after_ms)


class AnswerHeadTest(testtools.TestCase):
    """Decoding the headers of an upstream host's answer."""

    def test_all_headers(self) -> None:
        head = read_answer_head(
            200,
            [
                (b'x-pollenwalk-request-id', b'9c41'),
                (b'x-pollenwalk-server-signature', b'3e'),
                (b'x-pollenwalk-server-load', b'3,1,8'),
                (b'keep-alive', b'timeout=5, max=3'),
                (b'content-length', b'3'),
                (b'content-type', b'text/plain'),
            ],
        )
        self.assertTrue(head.signed)
        self.assertFalse(head.refused)
        self.assertEqual((3, 1, 8), head.load)
        self.assertEqual(5000, head.keep_alive_ms)
        self.assertIn((b'content-type', b'text/plain'), head.headers)
        self.assertNotIn((b'content-length', b'3'), head.headers)

    def test_limit_of_a_host(self) -> None:
        for text, expected in (
            (b'2.8', 2.8),
            (b' 3 ', 3),
            (b'.5', 0.5),
            (b'0', 0),
            (b'0.05', 0.05),
            (b'9' * 400, MAX_LIMIT_PER_S),
            (b'4, 3', 3),
            (b'soon, 3', 3),
        ):
            head = read_answer_head(200, [(b'server-limit', text)])
            self.assertEqual(expected, head.limit.per_second, text)

    def test_limit_that_cannot_be_read(self) -> None:
        for text in (b'', b'nan', b'inf', b'-1', b'1e3', b'1_0', b'3/s', b'\xb2', b'.'):
            head = read_answer_head(200, [(b'server-limit', text)])
            self.assertIsNone(head.limit.per_second, text)
            self.assertEqual(text.decode('latin-1'), head.limit.text)

    def test_no_limit(self) -> None:
        self.assertIsNone(read_answer_head(200, []).limit)

    def test_least_of_repeated_limits(self) -> None:
        fields = [(b'server-limit', text) for text in (b'5', b'2', b'x')]
        self.assertEqual(2, read_answer_head(200, fields).limit.per_second)

    def test_proof_that_the_request_did_not_run(self) -> None:
        self.assertTrue(
            read_answer_head(503, [(b'x-pollenwalk-not-executed', b'1')]).refused
        )
        self.assertTrue(read_answer_head(421, []).refused)
        self.assertFalse(read_answer_head(503, []).refused)

    def test_framing_of_the_body(self) -> None:
        chunked = [(b'transfer-encoding', b'chunked')]
        self.assertEqual(Framing.CHUNKS, read_answer_head(200, chunked).framing)
        sized = [(b'content-length', b'3')]
        self.assertEqual(Framing.LENGTH, read_answer_head(200, sized).framing)
        self.assertEqual(Framing.CONNECTION_END, read_answer_head(200, []).framing)

    def test_content_type_of_a_stream(self) -> None:
        types = ((b'text/event-stream', True), (b'Text/Event-Stream; a=b', True))
        for name, expected in (*types, (b'application/json', False)):
            head = read_answer_head(200, [(b'content-type', name)])
            self.assertEqual(expected, head.is_event_stream, name)
        self.assertTrue(read_answer_head(200, []).is_event_stream)

    def test_fourth_figure_of_the_load(self) -> None:
        """A malformed or absurd one must not hide the other three."""
        absurd = (b'', b',', b',x', b',nan', b',inf', b',-5', b',0', b',9', b',1e9')
        stated = ((b',250', 2.5), (b', 40.0 ', 0.4))
        for text, slowness in (*stated, *((one, None) for one in absurd)):
            head = read_answer_head(
                200, [(b'x-pollenwalk-server-load', b'3,1,8' + text)]
            )
            self.assertEqual(((3, 1, 8), slowness), (head.load, head.slowness), text)
        for text in (b'3,1,8,100,100', b'3,x,8,100', b'3,1'):
            head = read_answer_head(200, [(b'x-pollenwalk-server-load', text)])
            self.assertIsNone(head.load, text)

    def test_malformed_load_is_ignored(self) -> None:
        self.assertIsNone(
            read_answer_head(200, [(b'x-pollenwalk-server-load', b'3,x')]).load,
        )
