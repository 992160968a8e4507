"""A plain service's server: works for a while, then answers in one piece."""

import asyncio

import h11

from review.model_server_3 import ModelServer, Run


class PlainServer(ModelServer):
    """A server whose requests may not be repeated."""

    def __init__(self, name: str, service: str, work_s: float) -> None:
        """Create a server that works for `work_s` on each request."""
        super().__init__(name, service, 0, work_s)

    async def run(
        self, run: Run, parser: h11.Connection, writer: asyncio.StreamWriter
    ) -> None:
        """Wait for a slot, work, and answer."""
        async with self.slots:
            self.on_run(run)
            await asyncio.sleep(self.pause_s)
            body = f'done {run.id}'.encode()
            headers = [
                ('X-Pollenwalk-Request-Id', run.id),
                ('X-Pollenwalk-Server-Signature', f'{self.name}.{run.id}'),
                ('X-Pollenwalk-Server-Load', self.load),
                ('Content-Length', str(len(body))),
            ]
            head = h11.Response(status_code=200, headers=headers)
            for event in (head, h11.Data(data=body), h11.EndOfMessage()):
                writer.write(parser.send(event))
