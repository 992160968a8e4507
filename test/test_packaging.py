"""Tests of what an installation of the project contains."""

import tomllib
from pathlib import Path

import testtools

ROOT = Path(__file__).resolve().parent.parent


class PackagingTest(testtools.TestCase):
    """The list of packages in pyproject.toml."""

    def test_no_package_is_missing_from_an_installation(self) -> None:
        text = (ROOT / 'pyproject.toml').read_text(encoding='utf-8')
        listed = tomllib.loads(text)['tool']['setuptools']['packages']
        folders = (path.parent for path in (ROOT / 'pollenwalk').rglob('__init__.py'))
        packages = ('.'.join(folder.relative_to(ROOT).parts) for folder in folders)
        self.assertEqual(sorted(packages), sorted(listed))
