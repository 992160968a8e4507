"""`status` and `drain`: what operators ask of running processes."""

import argparse
import asyncio
import json
import sys
from typing import Any

from pollenwalk.commands.options import add_store_options, open_store
from pollenwalk.connection.grpc_network import GrpcNetwork
from pollenwalk.connection.peer import Peer
from pollenwalk.connection.wire import Beat, Drain
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.directory import Directory
from pollenwalk.process.tasks import TaskSet

ANSWER_TIMEOUT_MS = 2000


def add_parser(subparsers: Any) -> None:
    """Add both subcommands."""
    status: argparse.ArgumentParser = subparsers.add_parser(
        'status',
        help='show all entries, whether they answer, and who succeeded whom',
    )
    add_store_options(status)
    status.set_defaults(run=run_status)
    drain: argparse.ArgumentParser = subparsers.add_parser(
        'drain',
        help='let a sidecar take no new calls and finish those it has',
        description=(
            'Tells one sidecar to drain. Entries stop sending to it at once; '
            'its process goes on until SIGTERM.'
        ),
    )
    drain.add_argument('address', metavar='IP:PORT', help="the sidecar's address")
    drain.set_defaults(run=run_drain)


def run_status(options: argparse.Namespace) -> int:
    """Show the entries as JSON lines."""
    return asyncio.run(print_entries(options))


async def print_entries(options: argparse.Namespace) -> int:
    """Read the directory and ask each live entry for a sign of life."""
    store = open_store(options)
    directory = Directory(store, LoopClock())
    try:
        await directory.refresh()
    finally:
        await store.close()
    for record in directory.records.values():
        state = record._asdict()
        if not record.successor:
            state['answers'] = await is_responding(record.address, record.incarnation)
        sys.stdout.write(f'{json.dumps(state)}\n')
    return 0


async def is_responding(address: str, incarnation: str) -> bool:
    """Tell whether an incarnation answers."""
    tasks = TaskSet()
    peer = Peer(address, GrpcNetwork(), LoopClock(), tasks)
    try:
        connection = await peer.ensure_connected()
        await peer.request(Beat('', 0), ANSWER_TIMEOUT_MS)
    except PollenwalkError:
        return False
    finally:
        await peer.close()
        await tasks.cancel()
    return connection.boot_id == incarnation


def run_drain(options: argparse.Namespace) -> int:
    """Drain a sidecar."""
    return asyncio.run(drain_sidecar(options.address))


async def drain_sidecar(address: str) -> int:
    """Ask a sidecar to drain."""
    tasks = TaskSet()
    peer = Peer(address, GrpcNetwork(), LoopClock(), tasks)
    try:
        await peer.request(Drain(), ANSWER_TIMEOUT_MS)
    finally:
        await peer.close()
        await tasks.cancel()
    sys.stdout.write(f'{address}: draining\n')
    return 0
