"""The subcommands `status` and `drain`, which send requests to running processes."""

import argparse
import asyncio
import json
import sys
from typing import Any

from pollenwalk.commands.operator_store import open_store
from pollenwalk.commands.options import add_store_options
from pollenwalk.connection.fleet_messages import Beat
from pollenwalk.connection.grpc_network import GrpcNetwork
from pollenwalk.connection.peer import Peer
from pollenwalk.connection.sidecar_messages import Drain
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.directory import Directory
from pollenwalk.process.tasks import TaskSet

# Maximum time for a process to answer a request, including the time to connect
# if there is no connection yet.
ANSWER_TIMEOUT_MS = 2000


def add_parser(subparsers: Any) -> None:
    """Add the subcommands `status` and `drain`."""
    status: argparse.ArgumentParser = subparsers.add_parser(
        'status',
        help='print all entries, whether they answer, and their successors',
    )
    add_store_options(status)
    status.set_defaults(run=run_status)
    drain: argparse.ArgumentParser = subparsers.add_parser(
        'drain',
        help='let a sidecar accept no new calls and finish those in progress',
        description=(
            'Tells one sidecar to drain. Entries stop sending calls to it at '
            'once; its process continues until SIGTERM.'
        ),
    )
    drain.add_argument('address', metavar='IP:PORT', help="the sidecar's address")
    drain.set_defaults(run=run_drain)


def run_status(options: argparse.Namespace) -> int:
    """Print the entries as JSON lines."""
    return asyncio.run(print_entries(options))


async def print_entries(options: argparse.Namespace) -> int:
    """Print the record of each entry, and whether it answers.

    Entries with a successor have been taken over, so they are not asked.

    Raises:
        StoreUnavailable: the store did not answer.
    """
    store = open_store(options)
    directory = Directory(store, LoopClock())
    try:
        await directory.refresh()
    finally:
        await store.close()
    for record in directory.records.values():
        record_fields = record._asdict()
        if not record.successor:
            record_fields['answers'] = await is_responding(
                record.address, record.incarnation
            )
        sys.stdout.write(f'{json.dumps(record_fields)}\n')
    return 0


async def is_responding(address: str, incarnation: str) -> bool:
    """Return whether an incarnation of an entry answers at an address.

    Args:
        address: `ip:port` of the entry.
        incarnation: the expected incarnation. If another one answers, for
            example after a restart, the result is False.
    """
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
    """Tell the sidecar at an address, `ip:port`, to drain.

    Raises:
        ConnectionLost: the sidecar can't be reached, or did not answer within
            ANSWER_TIMEOUT_MS.
        Refusal: the process there uses another protocol version or doesn't
            know the request.
    """
    tasks = TaskSet()
    peer = Peer(address, GrpcNetwork(), LoopClock(), tasks)
    try:
        await peer.request(Drain(), ANSWER_TIMEOUT_MS)
    finally:
        await peer.close()
        await tasks.cancel()
    sys.stdout.write(f'{address}: draining\n')
    return 0
