"""The project's processes on loopback addresses, beside the platform's store.

The processes are started by the commands of the deploy file, with settings that are
filled into the templates of the deploy file.
"""

import asyncio
import json
import os
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from pollenwalk.connection.http_server import HttpServer, free_port
from pollenwalk.platform.templates import fill_template
from pollenwalk.process.clock import LoopClock
from review.client_3 import call
from standin.platform.store import PlatformStoreApi
from standin.store import MemoryStore

ROOT = Path(__file__).resolve().parents[1]
LOOPBACK = '127.0.0.1'
SETTINGS_PATH = '/etc/pollenwalk/settings.conf'
METRICS_PORT = ':9464'
READY_S = 30.0
CHECK_S = 0.05
# A small deployment: three keepers and two gateways in two regions.
ZONES = {'zone-a': 'east', 'zone-b': 'east', 'zone-c': 'west'}
KEEPERS = {'keeper-1': 'zone-a', 'keeper-2': 'zone-b', 'keeper-3': 'zone-c'}
GATEWAYS = {'gateway-1': 'zone-a', 'gateway-2': 'zone-b'}
BOUNDS = {
    'contact_ms': '4000',
    'drain_ms': '3000',
    'grace_s': '8',
    'config_apply_ms': '3000',
    'recover_s': '12',
}
MACHINE = {'memory_mb': '300', 'max_fds': '4100', 'disk_mb': '360'}
# Limits of clients' requests, as in the example of the pages.
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


class Deployment:
    """The processes and the store.

    Attributes:
        store: the objects of the store.
        api: the store's interface, with what goes wrong with it.
        addresses: where clients reach each gateway.
        commands: how each process is started, by the name of its machine.
        running: the processes, by the name of their machine.
    """

    def __init__(self) -> None:
        """Prepare a deployment without processes."""
        self.scratch = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self.scratch.name)
        self.store = MemoryStore(LoopClock())
        self.store_port = free_port()
        self.api = PlatformStoreApi(self.store)
        self.server = HttpServer(self.api.app(), LOOPBACK, self.store_port)
        self.roles = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']
        self.addresses: dict[str, str] = {}
        self.ready: dict[str, str] = {}
        self.commands: dict[str, list[str]] = {}
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start the store with the first configuration, and all processes."""
        await self.server.start()
        await self.write('config/main', configuration)
        for name, zone in KEEPERS.items():
            self.spawn('keeper', name, zone)
        for name, zone in GATEWAYS.items():
            self.spawn('gateway', name, zone)

    async def write(self, key: str, document: dict[str, Any]) -> None:
        """Write an object of the store, as the operator or a server does."""
        await self.store.put(key, json.dumps(document).encode(), None)

    def spawn(self, role: str, name: str, zone: str) -> None:
        """Start a process by the command of its role."""
        fields = self.fields(name, zone)
        template = (ROOT / self.roles[role]['template']).read_text()
        settings = self.folder / f'{name}.conf'
        text = fill_template(template, fields)
        settings.write_text(text.replace(METRICS_PORT, f':{free_port()}'))
        command = self.roles[role]['run'].replace(SETTINGS_PATH, str(settings))
        self.commands[name] = command.split()
        self.respawn(name)

    def respawn(self, name: str) -> None:
        """Start a process, or start it again, with the settings that it has."""
        settings = self.folder / f'{name}.conf'
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME') if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['POLLENWALK_NODE_FILE'] = str(settings)
        with (self.folder / f'{name}.log').open('ab') as log:
            self.running[name] = subprocess.Popen(
                self.commands[name],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def fields(self, name: str, zone: str) -> dict[str, str]:
        """Return the platform's fields of one machine."""
        self.addresses[name] = f'{LOOPBACK}:{free_port()}'
        self.ready[name] = f'{LOOPBACK}:{free_port()}'
        folder = self.folder / name
        folder.mkdir()
        return {
            'node_name': name,
            'zone': zone,
            'ip': LOOPBACK,
            'listen.front': self.addresses[name],
            'listen.ready': self.ready[name],
            'port_range': f'{free_port()},0',
            'data_dir': str(folder),
            'bootstrap': 'true',
            'fault_tolerance.machines': '1',
            'platform.address': f'{LOOPBACK}:{self.store_port}',
            **{f'zones.{one}': region for one, region in ZONES.items()},
            **{f'bounds.{one}': bound for one, bound in BOUNDS.items()},
            **{f'limits.{one}': limit for one, limit in MACHINE.items()},
        }

    async def wait_until_ready(self) -> None:
        """Wait until all gateways report that they are ready.

        Raises:
            TimeoutError: that takes too long.
        """
        async with asyncio.timeout(READY_S):
            for name in GATEWAYS:
                while (await call(self.ready[name], 'GET', '/v1/ready')).status != 200:
                    await asyncio.sleep(CHECK_S)

    async def end(self) -> None:
        """End all processes that were started, and the store."""
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait()
        self.store.close()
        await self.server.stop()
        self.scratch.cleanup()


class Record:
    """The file in which a case notes what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self.path = path
        self.lines: list[str] = []
        self.began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Return the time since the beginning of the record."""
        return time.monotonic() - self.began_s

    def note(self, text: str) -> None:
        """Add a line with the present time."""
        self.lines.append(f'{self.now_s:8.3f}  {text}')

    def close(self) -> None:
        """Write the record."""
        self.path.write_text('\n'.join((*self.lines, '')))
