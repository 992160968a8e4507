"""A stand-in plain service that numbers each real run."""

from typing import Any, NamedTuple

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from standin.ledger import Ledger


class ServiceShape(NamedTuple):
    """How a service answers.

    Attributes:
        name: counts runs across all servers of this name.
        delay_ms: time of one run.
    """

    name: str
    delay_ms: float = 15.0


class PlainService:
    """A service in memory; also what the HTTP stand-in serves."""

    def __init__(self, shape: ServiceShape, clock: Clock, ledger: Ledger) -> None:
        """Start healthy."""
        self.shape = shape
        self.clock = clock
        self.ledger = ledger
        self.hang = False
        self.lose_answers = 0
        self.refuse = 0
        self.taken = 0

    async def invoke(
        self,
        call: str,
        operation: str,
        argument: dict[str, Any],
    ) -> dict[str, Any]:
        """Run an operation: it takes effect after half of its time."""
        if self.refuse:
            self.refuse -= 1
            raise Refusal(RefusalCode.UPSTREAM_FAILED, 'not now', retry_after_ms=1)
        self.taken += 1
        await self.clock.sleep_ms(self.shape.delay_ms / 2)
        number = self.ledger.executed(self.shape.name, operation, argument)
        if self.lose_answers:
            self.lose_answers -= 1
            raise Refusal(
                RefusalCode.OUTCOME_UNKNOWN,
                'the answer was lost',
                Outcome.UNKNOWN,
            )
        while self.hang:
            await self.clock.sleep_ms(self.shape.delay_ms)
        await self.clock.sleep_ms(self.shape.delay_ms / 2)
        return {'operation': operation, 'execution': number, 'input': argument}


class ServiceApi:
    """The stand-in service over HTTP."""

    def __init__(self, service: PlainService) -> None:
        """Serve `service`."""
        self.service = service

    def app(self) -> Starlette:
        """Build the application."""
        return Starlette(
            routes=[Route('/{operation}', self.invoke, methods=['POST'])],
            exception_handlers={Refusal: self.failed},
        )

    async def failed(self, request: Request, error: Exception) -> Response:
        """Answer a failure."""
        unknown = isinstance(error, Refusal) and error.outcome == Outcome.UNKNOWN
        return JSONResponse({'error': str(error)}, 500 if unknown else 503)

    async def invoke(self, request: Request) -> Response:
        """Run an operation."""
        output = await self.service.invoke(
            request.headers.get('idempotency-key', ''),
            request.path_params['operation'],
            await request.json(),
        )
        return JSONResponse(output)
