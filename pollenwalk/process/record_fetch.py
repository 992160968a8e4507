"""Fetching of records from another keeper, in batches."""

from collections.abc import AsyncIterator

from loguru import logger

from pollenwalk.connection.peer import Peer
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.keeper import Keeper
from pollenwalk.process.keeper_members import Member
from pollenwalk.program.turns import PullRecords, PullTurns, RecordBatch

# Timeout for each batch of records. A batch takes 200 ms on the slowest link
# between regions.
BATCH_TIMEOUT_MS = 1500.0


async def fetch_records(
    keeper: Keeper, member: Member, request: PullRecords | PullTurns
) -> bool:
    """Fetch and store what another keeper sends for a request.

    Returns:
        Whether everything was fetched and the other keeper is complete.
    """
    peer = Peer(member.address, keeper.network, keeper.clock, keeper.tasks)
    count = 0
    complete = True
    try:
        async for batch in fetch_batches(keeper, peer, request):
            complete = complete and batch.complete
            count += await keeper.state.add_records(batch.records)
    except (PollenwalkError, TimeoutError) as error:
        logger.warning('fetch_failed', keeper=member.name, reason=repr(error))
        return False
    finally:
        await peer.close()
    logger.info('fetched', keeper=member.name, new=count, complete=complete)
    return complete


async def fetch_batches(
    keeper: Keeper, peer: Peer, request: PullRecords | PullTurns
) -> AsyncIterator[RecordBatch]:
    """Yield the batches of records that a keeper sends.

    Raises:
        TimeoutError: the next batch did not arrive within the timeout.
    """
    stream = peer.stream(request)
    while True:
        async with keeper.clock.timeout_ms(BATCH_TIMEOUT_MS):
            batch = await anext(stream, None)
        if batch is None:
            return
        yield batch
