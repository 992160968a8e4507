"""Finds where the stream began that a caller resumes with another request."""

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.program.streams import StreamOrigin
from pollenwalk.request.forwarding_context import ForwardingContext
from pollenwalk.request.gateway_call import Call

# How long after the deadline of a request its stream can still be resumed; a caller
# may allow more time for its next attempt.
RESUME_MARGIN_MS = 5000.0


async def find_origin(context: ForwardingContext, call: Call) -> StreamOrigin | None:
    """Return where the stream that a call resumes began; None for a new stream.

    Raises:
        Refusal: it is not known where the stream began, or the route does not
            lead there any more.
    """
    metadata = call.request.metadata
    if not (call.route.resumable and metadata.resumes):
        return None
    if not metadata.resumed_attempt:
        return origin_at_only_version(context, call)
    origin = await context.streams.find(call.owned_key(metadata.resumed_attempt))
    if all(share.upstream != origin.upstream for share in call.route.shares):
        raise Refusal(
            RefusalCode.NO_UPSTREAM,
            f'the route does not lead to upstream {origin.upstream}, which began the '
            'stream',
        )
    return origin


def origin_at_only_version(context: ForwardingContext, call: Call) -> StreamOrigin:
    """Return where a stream began that its caller resumes without naming it.

    Raises:
        Refusal: hosts of several versions may have begun it, or those of another
            upstream.
    """
    since_ms = context.clock.now_ms() - stream_lifetime_ms(call)
    host_table = context.call_placer.host_table
    versions = sorted(host_table.versions_since(call.upstream, since_ms))
    same_upstream = call.request.metadata.program or len(call.route.shares) == 1
    if same_upstream and len(versions) == 1:
        return StreamOrigin('', call.upstream, versions[0], 0)
    raise Refusal(
        RefusalCode.UNKNOWN_STREAM,
        f'the request does not name the stream that it resumes, and upstream '
        f'{call.upstream} has run versions {versions}',
    )


def stream_lifetime_ms(call: Call) -> float:
    """Return for how long the stream of a call can be resumed."""
    return call.caller_wait_ms + RESUME_MARGIN_MS
