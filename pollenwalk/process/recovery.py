"""Finding out what became of a dead home's non-idempotent calls."""

from collections.abc import Iterable

from pollenwalk.connection.wire import Answer, CallProgram
from pollenwalk.errors import (
    Outcome,
    PollenwalkError,
    Refusal,
    RefusalBody,
    RefusalCode,
)
from pollenwalk.process.owner_interface import OwnerInterface
from pollenwalk.program.history import service_history_items
from pollenwalk.program.live import LiveProgram
from pollenwalk.program.program import Program
from pollenwalk.program.records import Finished, Intended, Withdrawn
from pollenwalk.request.call import LiveCall
from pollenwalk.request.dispatch import Resolver

RECOVERY_MS = 30_000


class Recovery:
    """Settles the intents of programs that a home has adopted."""

    def __init__(self, owner: OwnerInterface) -> None:
        """Recover the programs of `home`."""
        self.owner = owner
        self.context = owner.context

    def recover(self, programs: Iterable[Program]) -> None:
        """Find out what became of the intents of adopted programs."""
        for program in programs:
            live = self.owner.find(program.id)
            live.doubtful_sequence = program.next_sequence
            for intent in list(program.intents.values()):
                call = LiveCall(request_of(intent), self.context.clock)
                live.calls[intent.key] = call
                live.tasks[intent.key] = self.owner.tasks.spawn(
                    self.recover_call(live, call, intent),
                    'recover',
                )
            if program.ended:
                self.owner.tasks.spawn(
                    self.owner.release(program),
                    'release',
                )

    async def recover_call(
        self,
        live: LiveProgram,
        call: LiveCall,
        intent: Intended,
    ) -> None:
        """Ask the sidecar that an intent names, and never dispatch again."""
        resolver = Resolver(
            self.context.peers(intent.address),
            self.context.clock,
            intent.boot_id,
        )
        until_ms = self.context.clock.now_ms() + RECOVERY_MS
        try:
            answer = await resolver.resolve(call, intent.incarnation, until_ms)
            if answer is None:
                await self.withdraw(live, call, intent)
            else:
                await self.recovered(live, call, intent, answer)
        except Refusal as refusal:
            await self.recovered(live, call, intent, refusal)
        except PollenwalkError as error:
            call.refuse(error)
        finally:
            live.calls.pop(intent.key, None)
            live.tasks.pop(intent.key, None)
            live.notify_waiting_calls()

    async def withdraw(
        self,
        live: LiveProgram,
        call: LiveCall,
        intent: Intended,
    ) -> None:
        """Record that an intent was proven not to have run.

        Where a caller waits for it, the call is then run for the first time.
        """
        await self.context.recorder.record(
            live,
            lambda: [Withdrawn(intent.program, intent.key)],
        )
        if call.stream.followers:
            await self.owner.run(live, call)
            return
        call.refuse(
            Refusal(
                RefusalCode.CANCELLED,
                'its entry died before the call was handed over',
                retry_after_ms=0,
            ),
        )

    async def recovered(
        self,
        live: LiveProgram,
        call: LiveCall,
        intent: Intended,
        ending: Answer | Refusal,
    ) -> None:
        """Record how a call of a dead home ended."""
        answer = ending if isinstance(ending, Answer) else None
        refusal = ending if isinstance(ending, Refusal) else None
        if refusal is not None and refusal.outcome == Outcome.NOT_RUN:
            await self.withdraw(live, call, intent)
            return
        entries = []
        if answer is not None:
            entries = service_history_items(intent.operation, intent.argument, answer)
        record = Finished(
            intent.program,
            intent.key,
            intent.sequence,
            intent.digest,
            intent.upstream,
            intent.operation,
            answer,
            RefusalBody.from_refusal(refusal) if refusal else None,
            entries,
            0,
            live.program.budget.reserved,
            '',
        )
        await self.context.recorder.record(live, lambda: [record])
        self.context.recorder.settle(intent.address, call.id)
        call.finish(live.program.finished[intent.key])


def request_of(intent: Intended) -> CallProgram:
    """Rebuild the request that an intent stands for."""
    return CallProgram(
        intent.program,
        intent.key,
        intent.sequence,
        intent.upstream,
        intent.operation,
        intent.argument,
        time_left_ms=RECOVERY_MS,
    )
