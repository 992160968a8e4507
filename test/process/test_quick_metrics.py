"""Counters and histograms with cheap updates, compared with those of the library."""

import testtools
from aioprometheus import Counter, Histogram, Registry, render

from pollenwalk.process.quick_metrics import QuickCounter, QuickHistogram

LABELS = ({'kind': 'a'}, {'kind': 'b'}, {'kind': 'a'}, {}, {'kind': 'a', 'other': 'c'})


class QuickMetricsTest(testtools.TestCase):
    """What is read is what the library's own metrics give."""

    def test_page_is_the_same(self) -> None:
        pages = []
        for counter_type, histogram_type in (
            (Counter, Histogram),
            (QuickCounter, QuickHistogram),
        ):
            registry = Registry()
            counter = counter_type('calls', 'Calls.', registry=registry)
            histogram = histogram_type(
                'times', 'Times.', registry=registry, buckets=[0.1, 1.0]
            )
            rounds = []
            for number, labels in enumerate(LABELS * 3):
                counter.inc(labels)
                histogram.observe(labels, number / 5)
                rounds.append(render(registry, ['text/plain'])[0])
            pages.append(rounds)
        self.assertEqual(pages[0], pages[1])

    def test_value_for_labels(self) -> None:
        counter = QuickCounter('calls', 'Calls.', registry=Registry())
        counter.inc({'kind': 'a'})
        counter.inc({'kind': 'a'})
        self.assertEqual(2, counter.get({'kind': 'a'}))
        self.assertEqual([({'kind': 'a'}, 2)], counter.get_all())
        with testtools.ExpectedException(KeyError):
            counter.get({'kind': 'never'})
