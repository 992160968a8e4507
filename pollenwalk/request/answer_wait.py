"""The wait of a send for the beginning of its answer, which a silent host never gives."""

import asyncio
from types import TracebackType
from typing import Protocol

from pollenwalk.errors import Refusal
from pollenwalk.policy.host_choice import CallCost
from pollenwalk.process.host_table import HostState
from pollenwalk.process.quota_client import QuotaClient
from pollenwalk.process.silent_hosts import AwaitedAnswer
from pollenwalk.request.call_crashes import CallCrashes
from pollenwalk.request.exchange import Exchange
from pollenwalk.request.forwarding_context import ForwardingContext
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.http_messages import AnswerHead, Headers


class MovableSender(Protocol):
    """A sender whose call may be moved from a silent host to another one."""

    context: ForwardingContext
    call: Call
    cost: CallCost
    crashes: CallCrashes
    software_version: str | None
    runs: int

    @property
    def avoided_hosts(self) -> set[str]:
        """Return the ids of the hosts that must not be chosen now."""

    def may_move(self, runs: int) -> bool:
        """Return whether the call may run once more after that many runs."""


class AnswerWait:
    """The wait of one sender for the beginning of the answer to its present send.

    A context manager for the time from the choice of a host until the head of its
    answer.

    Attributes:
        call: the call that is sent.
        exchange: the present request; None before it is written.
        awaited: the present or last send as the watch of hosts knows it; None if hosts
            are not watched.
        payment: obtains a token for a further send; None before it is needed.
        runs: runs of the call, with the one at the present host.
        queue_ms: expected wait for a slot of the present host.
    """

    def __init__(self, sender: MovableSender) -> None:
        """Prepare for the sends of a sender."""
        self.sender = sender
        self.call = sender.call
        self.silent_hosts = sender.context.silent_hosts
        self.exchange: Exchange | None = None
        self.awaited: AwaitedAnswer | None = None
        self.payment: asyncio.Future[bool] | None = None
        self.runs = 0
        self.queue_ms = 0.0

    def begin(self, state: HostState) -> 'AnswerWait':
        """Begin a send to a host, which does not count the call as in flight yet."""
        self.exchange = None
        self.payment = None
        if self.silent_hosts is None:
            return self
        sender = self.sender
        # Counted here, as `runs` is raised only once the whole request is written.
        self.runs = sender.runs + 1
        self.queue_ms = sender.context.call_placer.queue_wait_ms(state, sender.cost)
        self.awaited = self.silent_hosts.begin(state, self)
        return self

    def __enter__(self) -> 'AnswerWait':
        """Return this wait."""
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        """End the wait, whether the answer has begun or not."""
        if self.payment is not None:
            self.payment.cancel()
        if self.silent_hosts is not None and self.awaited is not None:
            self.silent_hosts.end(self.awaited)

    @property
    def was_moved(self) -> bool:
        """Return whether the wait was ended to send the call to another host."""
        return self.awaited is not None and self.awaited.moved

    async def send(self, exchange: Exchange, headers: Headers, body: bytes) -> None:
        """Send the request on the connection of an exchange.

        Raises:
            NotSent: the connection had ended before anything was sent.
        """
        self.exchange = exchange
        if self.silent_hosts is not None and self.awaited is not None:
            run_ms = self.sender.cost.run_ms
            self.silent_hosts.record_sent(self.awaited, run_ms, self.queue_ms)
        request = self.call.request
        await exchange.send(request.method, request.target, headers, body)

    async def read_head(self, exchange: Exchange) -> AnswerHead:
        """Wait for the head of the answer.

        Raises:
            BrokenAnswer: there is none, or the call is moved to another host.
        """
        head = await exchange.read_head(self.call.id)
        if self.silent_hosts is not None and self.awaited is not None:
            has_run = head.signed and not head.refused
            self.silent_hosts.record_answer(self.awaited, has_run)
        return head

    @property
    def has_response_bytes(self) -> bool:
        """Return whether a byte of the answer has arrived."""
        return self.exchange is not None and self.exchange.has_response_bytes

    def prepare_move(self) -> bool:
        """Return whether the call may be sent to another host; pay for the send.

        A call on which a host has crashed stays, as its next host is chosen with care.
        A call stays as well if no other host can take it, or as long as no token of the
        organisation's quota is there.
        """
        sender = self.sender
        if not sender.may_move(self.runs) or sender.crashes.known:
            return False
        context = sender.context
        if not context.call_placer.has_trusted_host(
            self.call, sender.avoided_hosts, sender.software_version
        ):
            return False
        return context.quotas is None or self.is_paid(context.quotas)

    def is_paid(self, quotas: QuotaClient) -> bool:
        """Return whether there is a token for a further send; ask for one once.

        The call waits at its host meanwhile, as without a token it could not be sent
        again.
        """
        if self.payment is None:
            if quotas.prepay(self.call):
                return True
            self.payment = asyncio.ensure_future(obtain_token(quotas, self.call))
        return self.payment.done() and self.payment.result()

    def cancel(self) -> None:
        """Close the connection, so that the read of the head fails."""
        if self.exchange is not None:
            self.exchange.connection.abort()


async def obtain_token(quotas: QuotaClient, call: Call) -> bool:
    """Obtain a token of the quota for a further send; return whether there is one."""
    try:
        await quotas.obtain(call, begins_program=False)
    except Refusal:
        return False
    return True
