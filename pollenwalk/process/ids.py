"""Program ids, which carry the incarnation of their first home."""

import random

from pollenwalk.errors import Refusal, RefusalCode

ID_BITS = 64
ID_PARTS = 3
PREFIX = 'p'


def new_program_id(incarnation: str, rng: random.Random) -> str:
    """Make the id of a program whose home is an incarnation."""
    return f'{PREFIX}-{incarnation}-{rng.getrandbits(ID_BITS):016x}'


def owner_of(program_id: str) -> str:
    """Read the home's incarnation off a program's id.

    Raises:
        Refusal: the id is not of our making.
    """
    parts = program_id.split('-')
    if len(parts) != ID_PARTS or parts[0] != PREFIX:
        raise unknown_program(program_id)
    return parts[1]


def unknown_program(program_id: str) -> Refusal:
    """Refuse a program that is not known here."""
    return Refusal(RefusalCode.UNKNOWN_PROGRAM, f'no program {program_id}')
