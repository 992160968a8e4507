"""`scenario` and `explore`: the promises under faults, in virtual time."""

import argparse
import sys
from pathlib import Path
from typing import Any

from pollenwalk.process.logs import set_up_logs

EXIT_FAILED = 1
DEFAULT_RUNS = 200


def add_parser(subparsers: Any) -> None:
    """Add both subcommands."""
    scenario: argparse.ArgumentParser = subparsers.add_parser(
        'scenario',
        help='run scenario files',
        description='Runs scenario files; docs/scenarios.md has the language.',
    )
    scenario.add_argument('files', nargs='+', type=Path, metavar='FILE')
    scenario.add_argument('--log-level', default='ERROR', help='of the JSON log')
    scenario.set_defaults(run=run_scenarios)
    explore: argparse.ArgumentParser = subparsers.add_parser(
        'explore',
        help='search random faults for a broken promise',
        description=(
            'Generates random scenarios and checks every promise at the '
            'stand-ins. A failing run is made small and written as a file. '
            'Exits with 1 on a breach.'
        ),
    )
    explore.add_argument('--seed', type=int, default=1)
    explore.add_argument('--runs', type=int, default=DEFAULT_RUNS)
    explore.add_argument(
        '--write',
        type=Path,
        default=Path('found.txt'),
        metavar='FILE',
        help='where a failing run goes (default found.txt)',
    )
    explore.set_defaults(run=run_explore)


def run_scenarios(options: argparse.Namespace) -> int:
    """Run scenario files and show a line for each."""
    # The stand-ins are no part of an installation, only of the source tree.
    from standin.scenario.language import read_scenario  # noqa: PLC0415, WPS433
    from standin.scenario.runner import (  # noqa: PLC0415, WPS433
        ScenarioFailed,
        run_scenario,
    )

    set_up_logs(options.log_level)
    failed = 0
    for path in options.files:
        try:
            run_scenario(read_scenario(path))
        except ScenarioFailed as error:
            failed += 1
            sys.stdout.write(f'FAILED {path.stem}: {error}\n')
        else:
            sys.stdout.write(f'holds  {path.stem}\n')
    sys.stdout.write(f'{len(options.files) - failed} passed, {failed} failed\n')
    return EXIT_FAILED if failed else 0


def run_explore(options: argparse.Namespace) -> int:
    """Explore random faults."""
    from standin.scenario.explorer import explore, save  # noqa: PLC0415, WPS433

    set_up_logs('CRITICAL')
    findings = explore(options.seed, options.runs)
    sys.stdout.write(
        f'seed {options.seed}: {findings.runs} runs, {findings.steps} steps, '
        f'{"a breach" if findings.failure else "no breach"}\n',
    )
    if not findings.failure:
        return 0
    save(findings, options.write)
    sys.stdout.write(f'{findings.failure}\nwritten to {options.write}\n')
    return EXIT_FAILED
