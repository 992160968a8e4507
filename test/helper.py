"""Small helpers that many tests use."""

import asyncio
import functools
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

import testtools
from loguru import logger

from standin.link import Place
from standin.virtual.loop import run_virtual
from standin.virtual.node import Node, NodeClock

AsyncTest = Callable[..., Coroutine[Any, Any, None]]
Fields = dict[str, Any]


def virtual(test: AsyncTest) -> Callable[..., None]:
    """Run an asynchronous test in virtual time."""

    @functools.wraps(test)
    def wrapper(self: testtools.TestCase, *parts: Any) -> None:
        run_virtual(test(self, *parts))

    return wrapper


def make_clock(name: str = 'tester') -> NodeClock:
    """Make a clock that never stops."""
    return NodeClock(Node(name, Place('rimouski', 'est')))


def on_loop(test: AsyncTest) -> Callable[..., None]:
    """Run an asynchronous test on a real loop, on loopback addresses."""

    @functools.wraps(test)
    def wrapper(self: testtools.TestCase, *parts: Any) -> None:
        asyncio.run(test(self, *parts))

    return wrapper


@contextmanager
def logged(event: str) -> Iterator[list[Fields]]:
    """Collect the fields of the log lines of one event; yield their list."""
    lines: list[Fields] = []

    def collect(message: Any) -> None:
        if message.record['message'] == event:
            lines.append(message.record['extra'])

    sink = logger.add(collect, format='{message}')
    try:
        yield lines
    finally:
        logger.remove(sink)
