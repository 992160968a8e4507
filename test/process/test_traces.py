"""Spans of one trace across processes, and logs as JSON lines."""

import io
import json
import tempfile
from contextlib import redirect_stderr
from pathlib import Path

import testtools
from loguru import logger

from pollenwalk.errors import UserError
from pollenwalk.process.logs import set_up_logs
from pollenwalk.process.traces import Tracer, make_tracer

TRACE = '4bf92f3577b34da6a3ce929d0e0e4736'
HEADER = f'00-{TRACE}-00f067aa0ba902b7-01'


class TracesTest(testtools.TestCase):
    """A tracer that writes spans to a file, or records none."""

    def make_path(self) -> Path:
        """Return a path in a new, empty directory."""
        return Path(tempfile.mkdtemp()) / 'spans.jsonl'

    def test_spans_share_the_callers_trace(self) -> None:
        path = self.make_path()
        tracer = make_tracer(str(path), 1.0)
        entry = tracer.span('entry', HEADER)
        with entry as header, tracer.span('dispatch', header) as next_header:
            self.assertIn(TRACE, next_header)
        tracer.close()
        spans = [json.loads(line) for line in path.read_text().splitlines()]
        self.assertEqual(['dispatch', 'entry'], [span['name'] for span in spans])
        traces = {span['context']['trace_id'] for span in spans}
        self.assertEqual({f'0x{TRACE}'}, traces)
        self.assertEqual(spans[1]['context']['span_id'], spans[0]['parent_id'])

    def test_invalid_header_starts_a_new_trace(self) -> None:
        tracer = make_tracer(str(self.make_path()), 1.0)
        with tracer.span('entry', 'noise') as header:
            self.assertNotIn(TRACE, header)
        tracer.close()

    def test_without_a_file_the_header_stays_unchanged(self) -> None:
        with Tracer().span('entry', HEADER) as header:
            self.assertEqual(HEADER, header)


class LogsTest(testtools.TestCase):
    """Logs of commands, on standard error."""

    def test_events_are_json_lines(self) -> None:
        target = io.StringIO()
        with redirect_stderr(target):
            writer = set_up_logs('INFO')
            logger.info('entry_ready', incarnation='abc')
            logger.debug('hidden')
            writer.flush(5)
        logger.remove()
        lines = [json.loads(line) for line in target.getvalue().splitlines()]
        self.assertEqual(['entry_ready'], [line['event'] for line in lines])
        self.assertEqual('abc', lines[0]['incarnation'])

    def test_unknown_level_is_a_user_error(self) -> None:
        with testtools.ExpectedException(UserError):
            set_up_logs('LOUD')
