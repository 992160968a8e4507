"""Resolves the non-idempotent calls that a dead owner left open."""

from collections.abc import Iterable

from pollenwalk.connection.call_messages import Answer
from pollenwalk.connection.program_messages import CallProgram
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

RECOVERY_TIMEOUT_MS = 30_000


class Recovery:
    """Resolves the intents of adopted programs: whether and how each call ended."""

    def __init__(self, owner: OwnerInterface) -> None:
        """Recover programs of `owner`."""
        self.owner = owner
        self.context = owner.context

    def recover(self, programs: Iterable[Program]) -> None:
        """Start to resolve the intents of adopted programs.

        For programs that have ended, the sidecars are asked again to free
        engine memory, as the dead owner may not have done so.
        """
        for program in programs:
            live = self.owner.find(program.id)
            live.maybe_ran_sequence = program.next_sequence
            for intent in list(program.intents.values()):
                call = LiveCall(rebuild_request(intent), self.context.clock)
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
        """Ask the sidecar that an intent names how the call ended.

        The call may have run, so it is not dispatched again unless the sidecar
        proves that it did not run. Its outcome is unknown if the sidecar can't
        tell within `RECOVERY_TIMEOUT_MS`.
        """
        resolver = Resolver(
            self.context.peers(intent.address),
            self.context.clock,
            intent.boot_id,
        )
        until_ms = self.context.clock.now_ms() + RECOVERY_TIMEOUT_MS
        try:
            answer = await resolver.resolve(call, intent.incarnation, until_ms)
            if answer is None:
                await self.record_withdrawn(live, call, intent)
            else:
                await self.record_ending(live, call, intent, answer)
        except Refusal as refusal:
            await self.record_ending(live, call, intent, refusal)
        except PollenwalkError as error:
            call.fail(error)
        finally:
            live.calls.pop(intent.key, None)
            live.tasks.pop(intent.key, None)
            live.notify_waiting_calls()

    async def record_withdrawn(
        self,
        live: LiveProgram,
        call: LiveCall,
        intent: Intended,
    ) -> None:
        """Record that an intended call is proven not to have run.

        If a caller is waiting for it, the call is then run.
        """
        await self.context.recorder.record(
            live,
            lambda: [Withdrawn(intent.program, intent.key)],
        )
        if call.stream.followers:
            await self.owner.run(live, call)
            return
        call.fail(
            Refusal(
                RefusalCode.CANCELLED,
                'the program was taken over before the call ran',
                retry_after_ms=0,
            ),
        )

    async def record_ending(
        self,
        live: LiveProgram,
        call: LiveCall,
        intent: Intended,
        ending: Answer | Refusal,
    ) -> None:
        """Record how an intended call ended, and answer its callers.

        A refusal with the outcome 'not run' is recorded as withdrawn instead.
        """
        answer = ending if isinstance(ending, Answer) else None
        refusal = ending if isinstance(ending, Refusal) else None
        if refusal is not None and refusal.outcome == Outcome.NOT_RUN:
            await self.record_withdrawn(live, call, intent)
            return
        history_items = []
        if answer is not None:
            history_items = service_history_items(
                intent.operation, intent.argument, answer
            )
        record = Finished(
            intent.program,
            intent.key,
            intent.sequence,
            intent.digest,
            intent.upstream,
            intent.operation,
            answer,
            RefusalBody.from_refusal(refusal) if refusal else None,
            history_items,
            0,
            live.program.budget.reserved,
            '',
        )
        await self.context.recorder.record(live, lambda: [record])
        self.context.recorder.settle(intent.address, call.id)
        call.finish(live.program.finished[intent.key])


def rebuild_request(intent: Intended) -> CallProgram:
    """Return the request from which an intent was made, with a new deadline."""
    return CallProgram(
        intent.program,
        intent.key,
        intent.sequence,
        intent.upstream,
        intent.operation,
        intent.argument,
        time_left_ms=RECOVERY_TIMEOUT_MS,
    )
