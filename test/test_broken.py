"""Each mechanism is broken on purpose, and a named scenario must notice.

Without this nobody knows whether the scenarios can fail at all.
"""

import contextlib
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple
from unittest import mock

import testtools

from pollenwalk.process.entry import Entry
from pollenwalk.process.fleet import Fleet
from pollenwalk.process.memory_leases import MemoryLeases
from pollenwalk.process.program_owner import ProgramOwner
from pollenwalk.process.sidecar_calls import EpochFence
from pollenwalk.process.takeover import SealedJournal, Takeover
from pollenwalk.program.budget import Budget
from pollenwalk.program.live import LiveProgram
from pollenwalk.request.dispatch import Resolver
from pollenwalk.request.execution import Execution
from standin.scenario.language import read_scenario
from standin.scenario.runner import ScenarioFailed, run_scenario

FOLDER = Path(__file__).resolve().parent / 'scenarios'


class Break(NamedTuple):
    """One broken mechanism and the scenario that catches it."""

    name: str
    target: Any
    attribute: str
    replacement: Callable[..., Any]
    scenario: str


async def intend_later(self: Execution, host: Any, connection: Any) -> None:
    """Hand over before the intent is durable."""
    intent = self.build_intent(host, connection)
    self.context.recorder.record_later(self.live, lambda: [intent])


async def own_without_seal(self: Takeover, dead: str) -> str:
    """Trust the lapsed lease and seal nothing."""
    return self.successor


async def read_without_witness(self: Takeover, dead: str) -> SealedJournal:
    """Read the store alone."""
    sealed = await whole_read(self, dead)
    return SealedJournal(sealed.content, [], tail_lost=False)


whole_read = Takeover.read_sealed


async def always_verified(self: ProgramOwner, refusal: Any, request: Any) -> bool:
    """Let every 'not run' pass."""
    return True


async def dispatch_unresolved(
    self: Resolver, call: Any, fence: str, give_up_at_ms: float
) -> None:
    """Take silence for a proof that the call did not run."""


async def reclaim_nothing(self: MemoryLeases) -> None:
    """Never compare with the engine's own list."""


async def take_any_turn(self: LiveProgram, call: Any) -> None:
    """Run a call without waiting for those before it."""


BREAKS = (
    Break(
        'dispatch before the intent is durable',
        Execution,
        'record_intent',
        intend_later,
        'home_dies_before_intent_is_durable',
    ),
    Break(
        'no fence against late dispatches',
        EpochFence,
        'check',
        lambda self, incarnation, epoch: None,
        'late_dispatch_of_paused_home',
    ),
    Break(
        'takeover by lease alone',
        Takeover,
        'claim_ownership',
        own_without_seal,
        'paused_home_wakes_and_commits',
    ),
    Break(
        'takeover without a witness',
        Takeover,
        'read_sealed',
        read_without_witness,
        'store_down_home_dies',
    ),
    Break(
        "'not run' without proof",
        ProgramOwner,
        'verify_not_run',
        always_verified,
        'sealed_home_is_asked_again',
    ),
    Break(
        'silence taken for not run',
        Resolver,
        'resolve',
        dispatch_unresolved,
        'sidecar_dies_in_order',
    ),
    Break(
        'lost attempts cost nothing',
        Budget,
        'forfeit',
        lambda self: self._replace(reserved=0),
        'budget_home_and_runner_die',
    ),
    Break(
        'engine memory is never compared',
        MemoryLeases,
        'reclaim_periodically',
        reclaim_nothing,
        'sidecar_dies_in_chat',
    ),
    Break(
        'calls do not wait for their turn',
        LiveProgram,
        'wait_for_predecessors',
        take_any_turn,
        'calls_sent_at_once',
    ),
    Break(
        'declarations are pushed once and never asked for',
        Entry,
        'reply_to_report',
        lambda self, report: None,
        'declaration_reaches_cut_sidecars',
    ),
    Break(
        "the platform's list of hosts is not heeded",
        Fleet,
        'update_leaving_addresses',
        lambda self, addresses: None,
        'host_list_says_leaving',
    ),
)


class BrokenTest(testtools.TestCase):
    """The checks can fail."""

    def test_each_break_is_caught(self) -> None:
        for broken in BREAKS:
            self.assertTrue(is_caught(broken), broken.name)

    def test_the_same_scenarios_hold_unbroken(self) -> None:
        for broken in BREAKS:
            run_scenario(read_scenario(FOLDER / f'{broken.scenario}.txt'))


def is_caught(broken: Break) -> bool:
    """Tell whether the scenario fails under the break."""
    scenario = read_scenario(FOLDER / f'{broken.scenario}.txt')
    patched = mock.patch.object(broken.target, broken.attribute, broken.replacement)
    with patched, contextlib.suppress(ScenarioFailed):
        run_scenario(scenario)
        return False
    return True
