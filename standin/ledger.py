"""What the stand-ins saw, as the only judge of the promises.

Nothing here is told by the code under test: upstreams note what they ran and
callers note what they asked for and got.
"""

from collections import Counter
from typing import Any, NamedTuple


class Execution(NamedTuple):
    """One real run of an operation at a plain service."""

    service: str
    operation: str
    tag: str
    execution: int


class Ledger:
    """Shared by all stand-ins of one system."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.executions: list[Execution] = []
        self.numbers: Counter[str] = Counter()
        self.order: dict[str, list[int]] = {}
        self.generated: Counter[str] = Counter()
        self.prefilled = 0
        self.prefilled_again = 0
        self.evicted_unused = 0
        self.ever_cached: dict[str, int] = {}

    def executed(self, service: str, operation: str, argument: dict[str, Any]) -> int:
        """Note a run and number it across all servers of the service."""
        tag = str(argument.get('tag', ''))
        self.numbers[service] += 1
        number = self.numbers[service]
        self.executions.append(Execution(service, operation, tag, number))
        self.saw(tag)
        return number

    def saw(self, tag: str) -> None:
        """Note the order in which a program's calls arrive.

        A tag reads `PROGRAM#SEQUENCE`, as the caller wrote it.
        """
        program, _, sequence = tag.rpartition('#')
        if program and sequence.isdecimal():
            self.order.setdefault(program, []).append(int(sequence))

    def prefill(self, program: str, cached: int, prompt: int) -> None:
        """Note what had to be computed, and what of it was known once."""
        computed = prompt - cached
        known = self.ever_cached.get(program, 0)
        self.prefilled += computed
        self.prefilled_again += max(min(known, prompt) - cached, 0)
        self.ever_cached[program] = max(known, prompt)

    def runs_of(self, tag: str) -> int:
        """Count the runs of one call."""
        return sum(1 for run in self.executions if run.tag == tag)

    def doubled(self, idempotent: frozenset[str]) -> list[str]:
        """Return the tags of non-idempotent calls that ran more than once."""
        runs = Counter(
            run.tag
            for run in self.executions
            if run.tag and run.operation not in idempotent
        )
        return [tag for tag, count in runs.items() if count > 1]

    def out_of_order(self) -> list[str]:
        """Return the programs whose calls arrived in another order.

        A repeat of a call that may be repeated is no disorder.
        """
        return [
            program
            for program, arrived in self.order.items()
            if arrived != sorted(arrived)
        ]
