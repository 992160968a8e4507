"""The subcommand `quota`: what the owners of an organisation's quota know of it."""

import argparse
import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from pollenwalk.connection.peer import Peer
from pollenwalk.connection.quota_messages import FindQuota, QuotaState
from pollenwalk.connection.tcp_network import TcpNetwork
from pollenwalk.errors import PollenwalkError
from pollenwalk.platform.objects import PlatformStore
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.keeper_members import KEEPERS_PREFIX, Member, Members
from pollenwalk.process.logs import set_up_logs
from pollenwalk.process.quota_shares import rank_quota_owners
from pollenwalk.process.settings import read_settings
from pollenwalk.process.tasks import TaskSet

# Maximum time for an owner to answer, including the time to connect.
ANSWER_TIMEOUT_MS = 2000


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser: argparse.ArgumentParser = subparsers.add_parser(
        'quota',
        help="print what the owners of an organisation's quota know of it",
        description=(
            'Asks the keepers that own the quota of an organisation and prints one '
            'JSON line for each, the first owner first: the part that it may grant '
            'now, the quota, its buckets, and to which gateways it granted tokens.'
        ),
    )
    parser.add_argument('organisation', metavar='ORGANISATION')
    parser.add_argument(
        '--settings',
        type=Path,
        required=True,
        metavar='FILE',
        help='settings file of a gateway or a keeper',
    )
    parser.set_defaults(run=run_quota)


def run_quota(options: argparse.Namespace) -> int:
    """Print the quota of an organisation."""
    set_up_logs('ERROR')
    settings = read_settings(options.settings, 'operator')
    url = settings.section('store')['url']
    return asyncio.run(print_quota(url, options.organisation))


async def print_quota(url: str, organisation: str) -> int:
    """Ask all owners of a quota and print their answers.

    Returns:
        0 if an owner has answered, else 1.

    Raises:
        StoreUnavailable: the store did not answer.
    """
    store = PlatformStore(url)
    try:
        listed = await store.scan(KEEPERS_PREFIX)
    finally:
        await store.close()
    members = Members(listed.objects).by_name
    answers = 0
    for name in rank_quota_owners(organisation, members):
        state = await ask_owner(members[name], organisation)
        answers += int(state is not None)
        sys.stdout.write(f'{json.dumps(describe(name, state))}\n')
    return 0 if answers else 1


async def ask_owner(member: Member, organisation: str) -> QuotaState | None:
    """Ask one owner; return None if it does not answer or keeps no quotas."""
    tasks = TaskSet()
    peer = Peer(member.address, TcpNetwork(), LoopClock(), tasks)
    try:
        return await peer.request(FindQuota(organisation), ANSWER_TIMEOUT_MS)
    except PollenwalkError:
        return None
    finally:
        await peer.close()
        await tasks.cancel()


def describe(name: str, state: QuotaState | None) -> dict[str, Any]:
    """Return what is printed of one owner."""
    if state is None:
        return {'keeper': name, 'answers': False}
    gateways = [one._asdict() for one in state.gateways]
    return {'keeper': name, 'answers': True, **state._asdict(), 'gateways': gateways}
