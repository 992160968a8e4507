"""The promises, judged from what the stand-ins and the callers saw."""

from collections.abc import Iterator

from standin.caller import Tally
from standin.ledger import Ledger
from standin.virtual.world import World

IDEMPOTENT = frozenset(('lookup', 'chat'))


def breaches(world: World, tally: Tally) -> list[str]:
    """Return every broken promise of a finished run."""
    held = world.held(tally.programs)
    found = [*ledger_breaches(world.ledger, tally), *caller_breaches(tally)]
    if held:
        found.append(f'held after end: {held} tokens')
    return found


def ledger_breaches(ledger: Ledger, tally: Tally) -> Iterator[str]:
    """Yield what the upstreams saw and should not have."""
    for tag in ledger.doubled(IDEMPOTENT):
        yield f'doubled: {tag} ran {ledger.runs_of(tag)} times'
    for program in ledger.out_of_order():
        yield f'out of order: {program} as {ledger.order[program]}'
    for program, limit in tally.budgets.items():
        spent = ledger.generated[program]
        if spent > limit:
            yield f'over budget: {program} generated {spent} of {limit}'
    for tag, word in tally.last_word.items():
        if word == 'not_run' and ledger.runs_of(tag):
            yield f'false not_run: {tag} ran'
    for tag in tally.answered:
        if not ledger.runs_of(tag):
            yield f'lost: {tag} was answered and never ran'


def caller_breaches(tally: Tally) -> Iterator[str]:
    """Yield what the callers were told and should not have been."""
    for tag in tally.false_not_run:
        yield f'false not_run: {tag} had run when it was refused'
    for tag in tally.mixed:
        yield f'mixed: {tag} got an answer that is not its own'
    for tag in tally.lost:
        yield f'lost: {tag} never got an answer'
    for text in tally.history_lost:
        yield f'history: {text}'
