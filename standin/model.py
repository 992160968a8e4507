"""An exhaustive check of the takeover protocol on a small model.

It is a model and not the real code: one owner with one non-idempotent call, one
successor, two witnesses and one sidecar. Every interleaving of their steps is
visited, with crashes of each, lost answers of the store, and pauses (a pause
is a step that comes late). `Variant` takes single mechanisms away, so that it
can be seen that the check notices.
"""

from collections.abc import Iterator
from typing import NamedTuple

EMPTY = 'empty'
INTENT = 'intent'
SEAL = 'seal'


class Variant(NamedTuple):
    """Which mechanisms are in place."""

    seals_store: bool = True
    seals_witness: bool = True
    fences_sidecar: bool = True
    waits_for_commit: bool = True
    names_boot_id: bool = True


class Witness(NamedTuple):
    """A witness."""

    alive: bool = True
    sealed: bool = False
    held: bool = False


class State(NamedTuple):
    """Everything that matters.

    Attributes:
        slot: the next segment of the owner's journal.
        sent_store: whether the owner's write has been sent but not arrived.
        sent: witnesses that a batch has been sent to but has not reached.
        acknowledged: witnesses whose acknowledgement has come.
        stored: whether the owner knows that its segment is written.
        owner_alive: whether the owner still takes steps.
        dispatched: whether its dispatch has been sent.
        in_flight: whether that dispatch may still arrive.
        fenced: whether the sidecar refuses the owner.
        boot_id: the sidecar's start.
        runs: how often the call has run.
        phase: how far the successor is.
        knows: whether the successor knows of the intent.
        said_not_run: whether it has told the caller so.
        unknown: whether it has told the caller that nobody knows.
        witnesses: both witnesses.
    """

    slot: str = EMPTY
    sent_store: bool = False
    sent: tuple[bool, bool] = (False, False)
    acknowledged: tuple[bool, bool] = (False, False)
    stored: bool = False
    owner_alive: bool = True
    dispatched: bool = False
    in_flight: bool = False
    fenced: bool = False
    boot_id: int = 1
    runs: int = 0
    phase: str = 'idle'
    knows: bool = False
    said_not_run: bool = False
    unknown: bool = False
    witnesses: tuple[Witness, Witness] = (Witness(), Witness())


class Result(NamedTuple):
    """What a check found."""

    states: int
    violation: str
    path: list[str]


Step = tuple[str, State]


def put(pair: tuple, place: int, value: object) -> tuple:
    """Replace one of a pair."""
    return tuple(value if place == one else pair[one] for one in range(2))


def owner_steps(state: State, variant: Variant) -> Iterator[Step]:
    """Yield what the owner may do."""
    if not state.owner_alive:
        return
    yield 'owner crashes', state._replace(owner_alive=False)
    if not state.sent_store and not state.stored:
        yield 'owner writes', state._replace(sent_store=True, sent=(True, True))
    if state.slot == INTENT and not state.stored:
        yield 'owner learns of its segment', state._replace(stored=True)
    committed = state.stored or all(state.acknowledged)
    may_dispatch = committed or not variant.waits_for_commit
    if may_dispatch and not state.dispatched:
        yield 'owner dispatches', state._replace(dispatched=True, in_flight=True)


def network_steps(state: State, variant: Variant) -> Iterator[Step]:
    """Yield what may arrive; what is lost simply never does."""
    if state.sent_store:
        slot = INTENT if state.slot == EMPTY else state.slot
        yield 'store takes the write', state._replace(sent_store=False, slot=slot)
    for place in range(2):
        yield from witness_steps(state, place)
    if state.in_flight:
        stale = variant.names_boot_id and state.boot_id != 1
        runs = state.runs if state.fenced or stale else state.runs + 1
        yield 'dispatch arrives', state._replace(in_flight=False, runs=runs)


def witness_steps(state: State, place: int) -> Iterator[Step]:
    """Yield what may happen at one witness."""
    witness = state.witnesses[place]
    if not witness.alive:
        return
    dead = put(state.witnesses, place, witness._replace(alive=False))
    yield f'witness {place} crashes', state._replace(witnesses=dead)
    if state.sent[place]:
        sent = put(state.sent, place, False)
        if witness.sealed:
            yield f'witness {place} refuses', state._replace(sent=sent)
            return
        held = put(state.witnesses, place, witness._replace(held=True))
        yield (
            f'witness {place} holds',
            state._replace(
                sent=sent,
                witnesses=held,
                acknowledged=put(state.acknowledged, place, True),
            ),
        )


def sidecar_steps(state: State) -> Iterator[Step]:
    """Yield what may happen to the sidecar."""
    if state.boot_id == 1:
        yield 'sidecar restarts', state._replace(boot_id=2, fenced=False)


def successor_steps(state: State, variant: Variant) -> Iterator[Step]:
    """Yield what the successor may do; it may begin at any time."""
    if state.phase == 'idle':
        yield from seal_store(state, variant)
    elif state.phase == 'sealed':
        yield from seal_witness(state, variant)
    elif state.phase == 'read':
        yield from settle(state, variant)


def seal_store(state: State, variant: Variant) -> Iterator[Step]:
    """Seal the journal, reading what is there."""
    knows = state.slot == INTENT
    slot = state.slot
    if variant.seals_store and slot == EMPTY:
        slot = SEAL
    yield 'successor seals', state._replace(phase='sealed', slot=slot, knows=knows)


def seal_witness(state: State, variant: Variant) -> Iterator[Step]:
    """Seal at any witness that lives; with none the tail is lost."""
    if not variant.seals_witness:
        yield 'successor skips witnesses', state._replace(phase='read')
        return
    living = [place for place in range(2) if state.witnesses[place].alive]
    if not living:
        yield 'successor finds no witness', state._replace(phase='end', unknown=True)
    for place in living:
        witness = state.witnesses[place]
        sealed = put(state.witnesses, place, witness._replace(sealed=True))
        yield (
            f'successor seals witness {place}',
            state._replace(
                phase='read',
                witnesses=sealed,
                knows=state.knows or witness.held,
            ),
        )


def settle(state: State, variant: Variant) -> Iterator[Step]:
    """Ask the sidecar about a known intent, or run an unknown call anew."""
    if not state.knows:
        # The caller repeats its call, which is new to the successor.
        yield 'successor runs', state._replace(phase='end', runs=state.runs + 1)
        return
    if state.boot_id != 1:
        yield 'successor says unknown', state._replace(phase='end', unknown=True)
        return
    fenced = state.fenced or variant.fences_sidecar
    asked = state._replace(phase='end', fenced=fenced)
    if state.runs:
        yield 'successor finds the result', asked
        return
    yield 'successor says not run', asked._replace(said_not_run=True)
    yield 'successor runs after proof', asked._replace(runs=state.runs + 1)


def steps(state: State, variant: Variant) -> Iterator[Step]:
    """Yield every next step of every process."""
    yield from owner_steps(state, variant)
    yield from network_steps(state, variant)
    yield from sidecar_steps(state)
    yield from successor_steps(state, variant)


def violation(state: State) -> str:
    """Name the promise that a state breaks, if any."""
    if state.runs > 1:
        return 'the call ran twice'
    if state.said_not_run and state.runs:
        return 'the call ran and was said not to have'
    return ''


def check(variant: Variant) -> Result:
    """Visit every state that can be reached.

    Args:
        variant: the mechanisms in place.

    Returns:
        How many states there are, and the shortest path to a violation.
    """
    start = State()
    paths: dict[State, list[str]] = {start: []}
    frontier = [start]
    while frontier:
        following = []
        for state in frontier:
            for name, reached in steps(state, variant):
                if reached in paths:
                    continue
                paths[reached] = [*paths[state], name]
                broken = violation(reached)
                if broken:
                    return Result(len(paths), broken, paths[reached])
                following.append(reached)
        frontier = following
    return Result(len(paths), '', [])
