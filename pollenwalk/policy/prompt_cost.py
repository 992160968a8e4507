"""What it costs a host to compute the part of a prompt that it has not cached."""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from pollenwalk.policy.host_choice import CachedPart, CallCost

# Time to compute one token of a prompt. Engines declare 0.0042 to 0.017 ms. It is not
# learned from first events: their times hold waits for slots and the delay by other
# prompts, which are larger than what is to be measured.
PREFILL_MS_PER_TOKEN = 0.01
# Part of the delay of the other calls in a batch that counts beside the call's own.
# The slowdown of others by one more call, cached or not, is not counted and about as
# large as the call's own, so both sides of the comparison hold half.
BATCH_DELAY_SHARE = 0.5
# Size in which the table of cached parts counts an object without prompt parts, and
# the assumed share of the run time that is saved where it was handled lately.
OBJECT_TOKENS = 1000
OBJECT_GAIN_SHARE = 0.2
# Prompts have a few parts; the header has room for thousands.
MAX_PARTS = 32
# Larger than any prompt; keeps sums of sizes that callers state finite.
MAX_PART_TOKENS = 1_000_000
# Enough for a collision to be unlikely; short, as callers choose the lengths of ids.
KEY_BYTES = 8


class PromptHeaders(NamedTuple):
    """What a caller states about the prompt or the object of a call.

    Attributes:
        parts: id and tokens of each part of the prompt in order.
        affinity: the object that the call works on; empty if not stated.
        sequence: the session or program whose turns share parts; empty if not stated.
    """

    parts: Iterable[tuple[str, int]]
    affinity: str = ''
    sequence: str = ''


def prompt_cost(run_ms: float, stated: PromptHeaders) -> CallCost:
    """Return the cost of a call on a route whose hosts gain by earlier calls.

    Args:
        run_ms: expected run time at an idle host.
        stated: what the caller states about the call.
    """
    parts = cached_parts(stated.parts)
    if parts:
        sequence = stated.sequence
        return CallCost(
            run_ms,
            sum(part.tokens for part in parts),
            PREFILL_MS_PER_TOKEN,
            BATCH_DELAY_SHARE,
            parts,
            part_key('sequence', sequence) if sequence else None,
        )
    if not stated.affinity:
        return CallCost(run_ms)
    key = part_key('object', stated.affinity)
    return CallCost(
        run_ms,
        OBJECT_TOKENS,
        run_ms * OBJECT_GAIN_SHARE / OBJECT_TOKENS,
        parts=(CachedPart(key, OBJECT_TOKENS),),
        affinity=key,
    )


def cached_parts(parts: Iterable[tuple[str, int]]) -> tuple[CachedPart, ...]:
    """Return the leading parts of a prompt in the form in which tables hold them."""
    sized = [
        CachedPart(part_key('part', name), min(tokens, MAX_PART_TOKENS))
        for name, tokens in tuple(parts)[:MAX_PARTS]
        if tokens > 0
    ]
    return tuple(sized)


def part_key(kind: str, name: str) -> int:
    """Return a short key for a part or an object, the same in all processes."""
    digest = hashlib.blake2b(f'{kind}\n{name}'.encode(), digest_size=KEY_BYTES)
    return int.from_bytes(digest.digest())
