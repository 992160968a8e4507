"""Runs the calls of a gateway: takes a token of the quota, then forwards the call."""

from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.request.forwarding_context import ForwardingContext
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.program_starts import ProgramStarts
from pollenwalk.request.program_turn import ProgramTurn
from pollenwalk.request.reply import Reply
from pollenwalk.request.streaming import StandaloneTurn, Turn, run_stream
from pollenwalk.request.unary import run_unary


class CallRunner:
    """Runs calls as streams or as unary calls, depending on their routes.

    Attributes:
        context: the parts of the gateway that are used to forward calls.
        keepers: the keepers that hold the programs' turns and budgets.
        program_starts: knows which programs have begun at this gateway.
    """

    def __init__(self, context: ForwardingContext, keepers: KeeperGroup) -> None:
        """Create a runner that knows of no program."""
        self.context = context
        self.keepers = keepers
        self.program_starts = ProgramStarts()

    async def run(self, call: Call, reply: Reply) -> None:
        """Take a token of the organisation's quota if it has one, and run a call.

        Raises:
            Refusal: the call was refused, for instance as it has crashed hosts.
        """
        quotas = self.context.quotas
        if quotas is None or not quotas.is_enabled:
            await self.forward(call, reply)
            return
        begins_program = self.program_starts.begins_program(call)
        await quotas.obtain(call, begins_program)
        if begins_program:
            self.program_starts.admit(call)
        try:
            await self.forward(call, reply)
        finally:
            quotas.release(call)

    async def forward(self, call: Call, reply: Reply) -> None:
        """Run a call as a stream or as one request.

        Raises:
            Refusal: the call was refused.
        """
        self.context.permits.crash_guard.check(call)
        if call.route.is_streaming:
            await run_stream(self.context, call, self.make_turn(call), reply)
        else:
            await run_unary(self.context, call, reply)

    def make_turn(self, call: Call) -> Turn:
        """Return the turn of a streaming call.

        It is a turn of a program if the route keeps the history or the request
        has a token budget.
        """
        keeps_history = call.route.keeps_history
        if keeps_history or call.request.metadata.budget is not None:
            return ProgramTurn(self.keepers, call, self.context.metrics)
        return StandaloneTurn(call.request.body)
