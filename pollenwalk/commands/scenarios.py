"""The subcommands `scenario` and `explore`: tests with injected faults.

Both run the system on stand-ins and a virtual clock, and check that the
guarantees hold.
"""

import argparse
import sys
from pathlib import Path
from typing import Any

from pollenwalk.process.logs import set_up_logs

EXIT_FAILED = 1
DEFAULT_RUNS = 200


def add_parser(subparsers: Any) -> None:
    """Add the subcommands `scenario` and `explore`."""
    scenario: argparse.ArgumentParser = subparsers.add_parser(
        'scenario',
        help='run scenario files',
        description='Runs scenario files; docs/scenarios.md describes their language.',
    )
    scenario.add_argument('files', nargs='+', type=Path, metavar='FILE')
    scenario.add_argument(
        '--log-level',
        default='ERROR',
        help='lowest level of the JSON log lines on standard error (default ERROR)',
    )
    scenario.set_defaults(run=run_scenarios)
    explore: argparse.ArgumentParser = subparsers.add_parser(
        'explore',
        help='search for random faults that violate a guarantee',
        description=(
            'Runs random scenarios and checks all guarantees against what the '
            'stand-ins and the callers recorded. A failing scenario is reduced '
            'to a smaller one and written to a file; the exit code is then 1.'
        ),
    )
    explore.add_argument('--seed', type=int, default=1)
    explore.add_argument('--runs', type=int, default=DEFAULT_RUNS)
    explore.add_argument(
        '--write',
        type=Path,
        default=Path('found.txt'),
        metavar='FILE',
        help='file for the reduced failing scenario (default found.txt)',
    )
    explore.set_defaults(run=run_explore)


def run_scenarios(options: argparse.Namespace) -> int:
    """Run scenario files and print a line for each.

    Returns:
        1 if a scenario failed, else 0.
    """
    # Imported here because the stand-ins are in the source tree but not in an
    # installation.
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
    """Run random scenarios; reduce a failing one and write it to a file.

    Returns:
        1 if a scenario failed, else 0.
    """
    # Imported here for the same reason as in `run_scenarios`.
    from standin.scenario.explorer import explore, save  # noqa: PLC0415, WPS433

    set_up_logs('CRITICAL')
    findings = explore(options.seed, options.runs)
    sys.stdout.write(
        f'seed {options.seed}: {findings.runs} runs, {findings.steps} steps, '
        f'{"a violation" if findings.failure else "no violation"}\n',
    )
    if not findings.failure:
        return 0
    save(findings, options.write)
    sys.stdout.write(f'{findings.failure}\nwritten to {options.write}\n')
    return EXIT_FAILED
