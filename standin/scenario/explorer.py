"""Random faults over the scenario language, generated and shrunk by hypothesis."""

from pathlib import Path
from typing import NamedTuple

import hypothesis
from hypothesis import strategies

from standin.scenario.language import Line, Scenario, write_scenario
from standin.scenario.runner import ScenarioFailed, run_scenario
from standin.virtual.world import Shape

MAX_STEPS = 14
ENTRIES = ('rimouski', 'saguenay', 'envigado', 'gatineau')
HOSTS = ('rimouski', 'saguenay', 'gatineau')
ENTRY_NAMES = ('entry1', 'entry2', 'entry3', 'entry4')
SIDECAR_NAMES = tuple(
    f'{upstream}-{number}' for upstream in ('advisory', 'orders') for number in range(3)
)
EVERYBODY = (*ENTRY_NAMES, *SIDECAR_NAMES, 'store')
PROGRAMS = ('p', 'q')
OPERATIONS = ('chat', 'lookup', 'reserve', 'order')
WAITS = ('1', '4', '12', '60', '400', '2500', '7000', '20000')


class Findings(NamedTuple):
    """What an exploration found."""

    runs: int
    steps: int
    failure: str
    scenario: Scenario | None


def lines() -> strategies.SearchStrategy[list[str]]:
    """Generate one step."""
    entry = strategies.sampled_from(ENTRY_NAMES)
    anybody = strategies.sampled_from((*ENTRY_NAMES, *SIDECAR_NAMES))
    place = strategies.sampled_from((*EVERYBODY, 'est', 'ouest'))
    program = strategies.sampled_from(PROGRAMS)
    number = strategies.sampled_from(('1', '2', '4'))
    return strategies.one_of(
        strategies.tuples(
            strategies.just('send'),
            strategies.just('?'),
            program,
            strategies.sampled_from(OPERATIONS),
        ),
        strategies.tuples(strategies.just('wait'), strategies.sampled_from(WAITS)),
        strategies.tuples(strategies.just('kill'), anybody),
        strategies.tuples(strategies.just('pause'), anybody),
        strategies.tuples(strategies.just('restart'), anybody),
        strategies.tuples(strategies.just('stop'), entry),
        strategies.tuples(strategies.just('cut'), place, place),
        strategies.tuples(
            strategies.just('cut'), place, place, strategies.just('oneway')
        ),
        strategies.sampled_from(
            (
                ('heal',),
                ('resume', 'all'),
                ('store', 'down'),
                ('store', 'up'),
                ('service', 'hang'),
                ('service', 'free'),
                ('engine', 'down'),
                ('engine', 'up'),
                ('run', '2'),
            )
        ),
        strategies.tuples(
            strategies.just('store'),
            strategies.sampled_from(('lose', 'fail')),
            number,
        ),
        strategies.tuples(
            strategies.just('service'),
            strategies.sampled_from(('lose', 'refuse')),
            number,
        ),
        strategies.tuples(strategies.just('engine'), strategies.just('cut'), number),
    ).map(list)


def scenarios() -> strategies.SearchStrategy[Scenario]:
    """Generate whole scenarios."""
    steps = strategies.lists(lines(), min_size=2, max_size=MAX_STEPS)
    seeds = strategies.integers(0, 10_000)
    witnesses = strategies.sampled_from((0, 1, 2))
    return strategies.builds(build, steps, seeds, witnesses)


def build(steps: list[list[str]], seed: int, witnesses: int) -> Scenario:
    """Put generated steps together; labels are numbered."""
    shape = Shape(ENTRIES, HOSTS, HOSTS, witnesses, seed)
    begin = [['begin', name] for name in PROGRAMS]
    numbered = []
    for position, step in enumerate(steps):
        words = [f'c{position}' if word == '?' else word for word in step]
        numbered.append(words)
    body = [Line(number, words) for number, words in enumerate([*begin, *numbered], 1)]
    return Scenario('explored', shape, body)


def explore(seed: int, runs: int) -> Findings:
    """Run random scenarios until one breaks a promise.

    Args:
        seed: the same seed gives the same scenarios.
        runs: how many to run.

    Returns:
        How many ran, and the smallest failing one if any.
    """
    done = [0, 0]
    failing: list[tuple[str, Scenario]] = []

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=runs,
        database=None,
        deadline=None,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
        phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
    )
    @hypothesis.given(scenarios())
    def holds(scenario: Scenario) -> None:  # noqa: WPS430
        done[0] += 1
        done[1] += len(scenario.lines)
        try:
            run_scenario(scenario)
        except ScenarioFailed as error:
            failing.append((str(error), scenario))
            raise

    try:
        holds()
    except ScenarioFailed:
        text, scenario = failing[-1]
        return Findings(done[0], done[1], text, scenario)
    return Findings(done[0], done[1], '', None)


def save(findings: Findings, path: Path) -> None:
    """Write a failing run as a scenario file."""
    if findings.scenario is not None:
        text = f'# {findings.failure}\n{write_scenario(findings.scenario)}'
        path.write_text(text, encoding='utf-8')
