"""Small helpers that many tests use."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import testtools

from standin.link import Place
from standin.virtual.loop import run_virtual
from standin.virtual.node import Node, NodeClock

AsyncTest = Callable[..., Coroutine[Any, Any, None]]


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
