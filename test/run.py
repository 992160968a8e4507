"""Runs all tests and ends with one line that counts them."""

import logging
import sys
import unittest
from pathlib import Path

import testtools
from loguru import logger

ROOT = Path(__file__).resolve().parent
KNOWN_RED = ROOT.parent / 'KNOWN-RED.txt'


def known_red() -> list[str]:
    """Read the ids of tests that fail for a known, listed fault."""
    if not KNOWN_RED.exists():
        return []
    prefix = 'test: '
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return [line.removeprefix(prefix) for line in lines if line.startswith(prefix)]


def failures_of(result: unittest.TestResult) -> list[str]:
    """Give the ids of the tests that failed."""
    return [test.id() for test, _ in (*result.failures, *result.errors)]


def main() -> int:
    """Run what is asked for, or everything."""
    logger.remove()
    logging.disable()
    pattern = sys.argv[1] if len(sys.argv) > 1 else 'test_*.py'
    suite = unittest.defaultTestLoader.discover(
        str(ROOT),
        pattern,
        str(ROOT.parent),
    )
    result = testtools.TextTestResult(sys.stdout, failfast=False)
    result.startTestRun()
    suite.run(result)
    result.stopTestRun()
    listed = known_red()
    failed = failures_of(result)
    for name in failed:
        sys.stdout.write(f'{"known red" if name in listed else "FAILED"}: {name}\n')
    passed = result.testsRun - len(failed)
    sys.stdout.write(f'{passed} passed, {len(failed)} failed\n')
    unexpected = [name for name in failed if name not in listed]
    return int(bool(unexpected) or not result.testsRun)


if __name__ == '__main__':
    sys.exit(main())
