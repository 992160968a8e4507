"""Stand-ins as processes of their own."""

import argparse

from starlette.applications import Starlette

from pollenwalk.connection.addresses import split_address
from pollenwalk.connection.http_server import HttpServer
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.signals import stop_on_signals
from standin.engine import EngineApi, EngineShape, ModelEngine
from standin.ledger import Ledger
from standin.service import PlainService, ServiceApi, ServiceShape
from standin.store import MemoryStore, StoreApi


def make_app(options: argparse.Namespace) -> Starlette:
    """Make the application of a stand-in from the command's options."""
    clock = LoopClock()
    if options.kind == 'store':
        return StoreApi(MemoryStore(clock)).app()
    if options.kind == 'engine':
        shape = EngineShape(options.slots, options.step_ms)
        return EngineApi(ModelEngine(shape, clock, Ledger())).app()
    return ServiceApi(PlainService(ServiceShape(options.name), clock, Ledger())).app()


async def serve_standin(app: Starlette, address: str) -> None:
    """Serve one stand-in until SIGTERM or SIGINT."""
    stopped = stop_on_signals()
    host, port = split_address(address)
    server = HttpServer(app, host, port)
    await server.start()
    await stopped.wait()
    await server.stop()
