"""Reads scenario files into steps; docs/scenarios.md describes the language."""

import shlex
from pathlib import Path
from typing import NamedTuple

from pollenwalk.errors import UserError
from standin.virtual.world import Shape

ZONE_SETUPS = ('entries', 'models', 'plains')
NUMBER_SETUPS = ('witnesses', 'seed')


class Line(NamedTuple):
    """One step of a scenario."""

    number: int
    words: list[str]

    @property
    def text(self) -> str:
        """Return the step as written."""
        return ' '.join(self.words)


class Scenario(NamedTuple):
    """A scenario: what the world is made of and what happens in it."""

    name: str
    shape: Shape
    lines: list[Line]


def read_scenario(path: Path) -> Scenario:
    """Read a scenario file.

    Raises:
        UserError: a setup line is wrong.
    """
    return parse_scenario(path.stem, path.read_text(encoding='utf-8'))


def parse_scenario(name: str, text: str) -> Scenario:
    """Read a scenario's text."""
    shape = Shape()
    lines = []
    for number, raw in enumerate(text.splitlines(), start=1):
        words = shlex.split(raw, comments=True)
        if not words:
            continue
        if words[0] in ZONE_SETUPS:
            shape = shape._replace(**{words[0]: tuple(words[1:])})
        elif words[0] in NUMBER_SETUPS:
            shape = shape._replace(**{words[0]: read_number(name, number, words)})
        else:
            lines.append(Line(number, words))
    return Scenario(name, shape, lines)


def read_number(name: str, number: int, words: list[str]) -> int:
    """Read the one number of a setup line."""
    if len(words) != 2 or not words[1].isdecimal():
        raise UserError(f'{name}:{number}: {words[0]} takes one number')
    return int(words[1])


def write_scenario(scenario: Scenario) -> str:
    """Return a scenario as a file's text."""
    shape = scenario.shape
    setup = [
        f'entries {" ".join(shape.entries)}',
        f'models {" ".join(shape.models)}',
        f'plains {" ".join(shape.plains)}',
        f'witnesses {shape.witnesses}',
        f'seed {shape.seed}',
    ]
    return '\n'.join([*setup, '', *(line.text for line in scenario.lines), ''])
