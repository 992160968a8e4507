"""By what a call is recognized when it is made again.

Each attempt of a caller has an id of its own. What repeats is the method, the host name,
the path with its query, the organisation, and the body without any history. The program
is no part of it: several programs may read the same, and a read has no body by which
it could be told from another.
"""

import hashlib
from typing import NamedTuple

from pollenwalk.request.gateway_call import Call

DIGEST_BYTES = 16
# Part of the body by which repeats of a call with another end are recognized.
BEGINNING_BYTES = 64


class CallIdentity(NamedTuple):
    """The digests by which repeats of a call are recognized.

    Attributes:
        whole: digest of the call with its whole body.
        beginning: digest of the call with the beginning of its body; equal to `whole`
            if the body is no longer than that.
    """

    whole: str
    beginning: str


def identify(call: Call) -> CallIdentity:
    """Return the digests by which repeats of a call are recognized."""
    body = call.request.body
    beginning = body[:BEGINNING_BYTES]
    if len(beginning) == len(body):
        whole = call_digest(call, body)
        return CallIdentity(whole, whole)
    return CallIdentity(call_digest(call, body), call_digest(call, beginning))


def identify_beginning(call: Call) -> str:
    """Return the digest of a call with the beginning of its body."""
    return call_digest(call, call.request.body[:BEGINNING_BYTES])


def call_digest(call: Call, body: bytes) -> str:
    """Return a digest of what repeats in all attempts to make a call.

    The host name is that of the route, as callers write it in several ways. The route's
    own name and the upstream are left out: another configuration may change them.

    Args:
        call: the call.
        body: its body without any history, or the beginning of it.
    """
    request = call.request
    parts = (
        request.method,
        call.route.host.encode(),
        request.target,
        call.organisation_name.encode(),
        body,
    )
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
