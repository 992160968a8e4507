"""Every scenario file is a test."""

from pathlib import Path

import testtools

from standin.scenario.language import read_scenario
from standin.scenario.runner import run_scenario

FOLDER = Path(__file__).resolve().parent / 'scenarios'


class ScenarioTest(testtools.TestCase):
    """The promises under the faults of each file."""


def make_test(path: Path) -> None:
    """Add one test for one file."""

    def test(self: ScenarioTest) -> None:
        run_scenario(read_scenario(path))

    setattr(ScenarioTest, f'test_{path.stem}', test)


for scenario_path in sorted(FOLDER.glob('*.txt')):
    make_test(scenario_path)
