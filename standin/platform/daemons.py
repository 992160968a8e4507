"""Gateways and keepers as processes of their own, beside a store and hosts in tests.

Only processes that were started here are ever ended, each by its own handle.
"""

import asyncio
import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.connection.http_server import HttpServer, free_port
from pollenwalk.process.clock import LoopClock
from standin.platform.store import PlatformStoreApi
from standin.store import MemoryStore

LOOPBACK = '127.0.0.1'
ROOT = Path(__file__).resolve().parents[2]
CHECK_S = 0.05
READY_S = 30.0
# Lines of a process's log that are shown if it does not become ready.
LAST_LINES = 12
READY_REQUEST = b'GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n'


class Daemon(NamedTuple):
    """How to start one process.

    Attributes:
        role: the command that runs it.
        section: its settings, without those of all processes.
        address: `ip:port` that callers or other processes use.
        ready: `ip:port` of its readiness page; empty for a keeper.
    """

    role: str
    section: str
    address: str
    ready: str


class Daemons:
    """A store, and gateways and keepers that follow it.

    Attributes:
        store: the objects, which tests write and read directly.
        daemons: how each process is started, by its name.
        running: the processes that run, by name.
    """

    def __init__(self, regions: dict[str, str]) -> None:
        """Prepare a system without processes in zones of some regions."""
        self.regions = regions
        self.scratch = tempfile.TemporaryDirectory(prefix='pollenwalk-')
        self.folder = Path(self.scratch.name)
        self.store = MemoryStore(LoopClock())
        self.port = free_port()
        self.server = HttpServer(
            PlatformStoreApi(self.store).app(), LOOPBACK, self.port
        )
        self.daemons: dict[str, Daemon] = {}
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start the store with a configuration."""
        await self.server.start()
        await self.write('config/main', configuration)

    async def write(self, key: str, document: dict[str, Any]) -> None:
        """Write an object of the store."""
        await self.store.put(key, json.dumps(document).encode(), None)

    async def list_host(self, host: UpstreamHost, zone: str) -> None:
        """Write the registration of a host."""
        document = {
            'service': host.upstream,
            'address': host.address,
            'zone': zone,
            'version': 'v1',
            'slots': host.slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
        }
        await self.write(f'servers/{host.id}', document)

    def add_keeper(self, name: str, zone: str, first_start: bool = True) -> None:
        """Start a keeper with an empty disk.

        Args:
            name: its name.
            zone: its zone.
            first_start: whether it is one of the first; a later one first looks for the
                records of the others.
        """
        address = f'{LOOPBACK}:{free_port()}'
        folder = self.folder / name
        folder.mkdir()
        section = (
            f'[keeper]\nname = {name}\nzone = {zone}\naddress = {address}\n'
            f'metrics = {LOOPBACK}:{free_port()}\nfolder = {folder}\n'
            f'tolerated_losses = 1\nfirst_start = {str(first_start).lower()}\n'
        )
        self.daemons[name] = Daemon('keeper', section, address, '')
        self.spawn(name)

    def add_gateway(self, name: str, zone: str) -> None:
        """Start a gateway."""
        address = f'{LOOPBACK}:{free_port()}'
        ready = f'{LOOPBACK}:{free_port()}'
        section = (
            f'[gateway]\nname = {name}\nzone = {zone}\nhttp = {address}\n'
            f'ready = {ready}\nmetrics = {LOOPBACK}:{free_port()}\ngrace_s = 8\n'
            'change_delay_ms = 3000\nleave_notice_ms = 3000\ntolerated_losses = 1\n'
        )
        self.daemons[name] = Daemon('gateway', section, address, ready)
        self.spawn(name)

    def spawn(self, name: str) -> None:
        """Start a process with its settings; its log is appended to a file."""
        daemon = self.daemons[name]
        regions = ''.join(
            f'{zone} = {region}\n' for zone, region in self.regions.items()
        )
        path = self.folder / f'{name}.conf'
        path.write_text(
            '[process]\nlog_level = INFO\n'
            f'[store]\nurl = http://{LOOPBACK}:{self.port}\n'
            f'[regions]\n{regions}{daemon.section}',
            encoding='utf-8',
        )
        with (self.folder / f'{name}.log').open('ab') as log:
            self.running[name] = subprocess.Popen(
                [
                    *(sys.executable, '-m', 'pollenwalk', daemon.role),
                    *('--config', str(path)),
                ],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def kill(self, name: str) -> None:
        """End a process at once; a keeper's disk remains."""
        process = self.running.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def restart(self, name: str) -> None:
        """Start a process again that was ended; it is not its first start."""
        daemon = self.daemons[name]
        section = daemon.section.replace('first_start = true', 'first_start = false')
        self.daemons[name] = daemon._replace(section=section)
        self.spawn(name)

    def freeze(self, name: str) -> None:
        """Let a process stand still."""
        self.running[name].send_signal(signal.SIGSTOP)

    def wake(self, name: str) -> None:
        """Let a frozen process go on."""
        self.running[name].send_signal(signal.SIGCONT)

    async def wait_listed(self, name: str) -> None:
        """Wait until a keeper has an object of its own in the store.

        Raises:
            TimeoutError: that takes too long.
        """
        async with asyncio.timeout(READY_S):
            while f'keepers/{name}' not in self.store.objects:
                await asyncio.sleep(CHECK_S)

    async def wait_ready(self) -> None:
        """Wait until all gateways report that they are ready.

        Raises:
            TimeoutError: that takes too long; names how far each process came.
        """
        try:
            async with asyncio.timeout(READY_S):
                for daemon in self.daemons.values():
                    await wait_until_ready(daemon)
        except TimeoutError as error:
            raise TimeoutError('\n'.join(map(self.describe, self.running))) from error

    def describe(self, name: str) -> str:
        """Return whether a process runs, and the end of its log."""
        log = (self.folder / f'{name}.log').read_text('utf-8', 'replace')
        last_lines = '\n'.join(log.splitlines()[-LAST_LINES:])
        return f'{name}: exit status {self.running[name].poll()}\n{last_lines}'

    async def close(self) -> None:
        """End all processes and remove their files."""
        for name in list(self.running):
            self.kill(name)
        self.store.close()
        await self.server.stop()
        self.scratch.cleanup()


async def wait_until_ready(daemon: Daemon) -> None:
    """Wait until a process reports that it is ready; a keeper has no such page."""
    while daemon.ready and not await is_ready(daemon.ready):
        await asyncio.sleep(CHECK_S)


async def is_ready(address: str) -> bool:
    """Return whether a readiness page answers with 200."""
    return (await exchange(address, READY_REQUEST)).startswith(b'HTTP/1.1 200')


async def exchange(address: str, request: bytes) -> bytes:
    """Send a request that ends its connection; return the whole answer.

    It is empty if the connection was refused or reset.
    """
    ip, _, port = address.rpartition(':')
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(request)
        answer = await reader.read()
    except ConnectionError:
        return b''
    writer.close()
    return answer
