"""Counters and histograms whose updates are cheap, as there are several for each request.

aioprometheus encodes and checks the labels at each update. Here that is done once for
each set of labels, or when the metric is read.
"""

from typing import Any

from aioprometheus import Counter, Histogram

Labels = dict[str, str]
LabelItems = tuple[tuple[str, str], ...]


class QuickCounter(Counter):
    """A counter that sums up increments until it is read.

    Attributes:
        pending: increments since the last reading, by labels.
    """

    def __init__(self, *options: Any, **named: Any) -> None:
        """Create a counter as aioprometheus does."""
        self.pending: dict[LabelItems, int] = {}
        super().__init__(*options, **named)

    def inc(self, labels: Labels, count: int = 1) -> None:
        """Increment the counter, by 1 unless `count` differs."""
        key = tuple(labels.items())
        self.pending[key] = self.pending.get(key, 0) + count

    def add_pending(self) -> None:
        """Add the increments since the last reading."""
        pending = self.pending
        self.pending = {}
        for items, count in pending.items():
            self.add(dict(items), count)

    def get_all(self) -> list[tuple[Labels, float]]:
        """Return all labels with their values."""
        self.add_pending()
        return super().get_all()

    def get(self, labels: Labels) -> float:
        """Return the value for some labels.

        Raises:
            KeyError: the counter was never incremented with these labels.
        """
        if self.pending:
            self.add_pending()
        return super().get(labels)


class QuickHistogram(Histogram):
    """A histogram that finds the observations of known labels at once.

    Attributes:
        known: the observations by labels.
    """

    def __init__(self, *options: Any, **named: Any) -> None:
        """Create a histogram as aioprometheus does."""
        self.known: dict[LabelItems, Any] = {}
        super().__init__(*options, **named)

    def observe(self, labels: Labels, observed: float) -> None:
        """Add an observation."""
        key = tuple(labels.items())
        observations = self.known.get(key)
        if observations is None:
            self.add(labels, observed)
            self.known[key] = self.get_value(labels)
        else:
            observations.observe(float(observed))
