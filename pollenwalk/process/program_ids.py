"""Program ids, which contain the incarnation of the program's first owner."""

import random

from pollenwalk.errors import Refusal, RefusalCode

ID_BITS = 64
ID_PARTS = 3
PREFIX = 'p'


def new_program_id(incarnation: str, rng: random.Random) -> str:
    """Return a new random id for a program of an incarnation."""
    return f'{PREFIX}-{incarnation}-{rng.getrandbits(ID_BITS):016x}'


def owner_of(program_id: str) -> str:
    """Return the incarnation of a program's first owner, read from its id.

    Raises:
        Refusal: the id does not have the form of a program id.
    """
    parts = program_id.split('-')
    if len(parts) != ID_PARTS or parts[0] != PREFIX:
        raise unknown_program(program_id)
    return parts[1]


def unknown_program(program_id: str) -> Refusal:
    """Return the refusal for a program that does not exist here."""
    return Refusal(RefusalCode.UNKNOWN_PROGRAM, f'no program {program_id}')
