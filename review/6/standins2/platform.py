"""The platform: machines with settings files, and the processes of the roles.

Each machine has a loopback address of its own. Settings are made from the project's
templates, and processes are started with the commands of the deploy file.
"""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import NamedTuple

from standins2.http import Head, read_head
from standins2.store import Store

ROOT = Path(__file__).resolve().parents[3]
REGIONS = {
    'rimouski': 'quebec-est',
    'saguenay': 'quebec-est',
    'gatineau': 'quebec-ouest',
}
# One way between two regions.
WAY_S = 0.03
SETTINGS_PATH = '/etc/pollenwalk/settings.conf'
BOUNDS = {
    'contact_ms': 4000,
    'drain_ms': 3000,
    'grace_s': 8,
    'config_apply_ms': 3000,
    'recover_s': 12,
}
ROUTE = {
    'host': 'shop.example',
    'kind': 'streaming',
    'timeout_ms': 3000,
    'target_latency_ms': 300,
    'service': 'conseiller',
    'max_attempts': 2,
    'retention_s': 60.0,
    'sticky': True,
    'gap_aim_ms': 150,
}
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            **ROUTE,
            'name': 'repair-guide',
            'path_prefix': '/repair/',
            'priority': 0,
            'retain_history': True,
            'resumable': False,
        },
        {
            **ROUTE,
            'name': 'fit-query',
            'path_prefix': '/fit/',
            'priority': 1,
            'retain_history': False,
            'resumable': True,
        },
        {
            'name': 'stock-lookup',
            'host': 'shop.example',
            'path_prefix': '/stock/',
            'kind': 'safe',
            'timeout_ms': 1500,
            'target_latency_ms': 400,
            'priority': 2,
            'service': 'comptoir',
            'max_attempts': 2,
        },
    ],
    'services': [
        {
            'name': 'comptoir',
            'health_path': '/health',
            'max_conns': 100,
            'protocol': 'h1',
            'tls': False,
        },
        {
            'name': 'conseiller',
            'health_path': '/health',
            'max_conns': 140,
            'protocol': 'h1',
            'tls': False,
            'engine': {
                'slots': 8,
                'kv_capacity': 97943,
                'kv_token_bytes': 18432,
                'link_mbps': 280000.0,
                'moves': True,
                'backups': True,
                'tokens_per_event': 14,
                'most': 12,
                'pin_ms': 4000.0,
                'hold_ms': 2000.0,
                'handle_s': 5.0,
                'models': [{'name': 'm'}],
            },
        },
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
}


class CaseError(Exception):
    """The case could not run."""


class Machine(NamedTuple):
    """A machine and the process on it.

    Attributes:
        fields: the fields of its settings.
        command: the command of its role.
        template: the template of its settings.
    """

    fields: dict[str, str]
    command: list[str]
    template: Path


class Platform:
    """All machines of a small deployment.

    Attributes:
        record: lines on what was sent, answered and run.
        began: time of the start.
        processes: the running processes, by the name of the machine.
        ends: how many processes have ended by themselves, by the name of the machine.
    """

    def __init__(self, folder: Path) -> None:
        """Create a platform without machines; `folder` gets the record."""
        self.folder = folder
        self.record = (folder / 'record.txt').open('w', encoding='utf-8')
        self.began = time.monotonic()
        self.scratch = Path(tempfile.mkdtemp(prefix='pollenwalk-review-'))
        self.block = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
        self.ports = dict(zip(('front', 'ready', 'range'), free_ports(3), strict=True))
        self.store = Store()
        self.machines: dict[str, Machine] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text('utf-8'))
        self.last_ip = 10

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        self.record.write(f'{time.monotonic() - self.began:8.3f} s  {text}\n')
        self.record.flush()

    def new_ip(self) -> str:
        """Return the address of a new machine."""
        self.last_ip += 1
        return f'{self.block}.{self.last_ip}'

    async def open_store(self) -> None:
        """Start the store, near to one region and far from the other."""
        self.store.write('config/main', CONFIGURATION)
        await self.store.listen(f'{self.block}.2', self.ports['front'])
        await self.store.listen(f'{self.block}.3', self.ports['front'], WAY_S)

    def store_address(self, zone: str) -> str:
        """Return the address by which a zone reaches the store."""
        near = REGIONS[zone] == 'quebec-est'
        return f'{self.block}.{2 if near else 3}:{self.ports["front"]}'

    def add(self, role: str, name: str, zone: str, memory_mb: int, first: bool) -> None:
        """Add a machine and start the process of its role."""
        ip = self.new_ip()
        disk = self.scratch / name
        disk.mkdir()
        declared = self.deploy['roles'][role]
        fields = {
            'node_name': name,
            'role': role,
            'ip': ip,
            'zone': zone,
            'region': REGIONS[zone],
            **{f'zones.{one}': region for one, region in REGIONS.items()},
            'listen.front': f'{ip}:{self.ports["front"]}',
            'listen.ready': f'{ip}:{self.ports["ready"]}',
            'port_range': f'{self.ports["range"]},{self.ports["range"] + 15}',
            'bootstrap': 'true' if first else 'false',
            'limits.memory_mb': str(memory_mb),
            'limits.max_fds': '4100',
            'data_dir': str(disk),
            'fault_tolerance.machines': '1',
            **{f'bounds.{one}': str(figure) for one, figure in BOUNDS.items()},
            'platform.address': self.store_address(zone),
        }
        template = ROOT / declared['template']
        self.machines[name] = Machine(fields, declared['run'].split(), template)
        self.start(name)

    def start(self, name: str) -> None:
        """Start the process of a machine."""
        machine = self.machines[name]
        path = self.scratch / f'{name}.conf'
        path.write_text(fill(machine.template, machine.fields), encoding='utf-8')
        command = [
            str(path) if one == SETTINGS_PATH else one for one in machine.command
        ]
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(self.scratch),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'POLLENWALK_NODE_FILE': str(path),
        }
        with (self.scratch / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *command[1:]],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.note(f'{name} is started')

    def restart(self, name: str) -> None:
        """Start the process of a machine again; its disk is as it was."""
        self.machines[name].fields['bootstrap'] = 'false'
        self.start(name)

    def kill(self, name: str) -> None:
        """End a process at once."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Freeze a machine."""
        self.processes[name].send_signal(signal.SIGSTOP)
        self.note(f'{name} freezes')

    def wake(self, name: str) -> None:
        """Let a frozen machine go on."""
        self.processes[name].send_signal(signal.SIGCONT)
        self.note(f'{name} wakes')

    def memory_mb(self, name: str) -> float:
        """Return the resident memory of a process in MB."""
        try:
            status = Path(f'/proc/{self.processes[name].pid}/status').read_text()
        except (OSError, KeyError):
            return 0.0
        lines = (line.split() for line in status.splitlines())
        kilobytes = next((one[1] for one in lines if one[0] == 'VmRSS:'), '0')
        return int(kilobytes) * 1024 / 1_000_000

    def front(self, name: str) -> str:
        """Return the address for clients of a front machine."""
        return self.machines[name].fields['listen.front']

    async def wait_ready(self, names: list[str]) -> None:
        """Wait until front machines are ready.

        Raises:
            CaseError: they are not within 30 s.
        """
        for name in names:
            address = self.machines[name].fields['listen.ready']
            await self.wait_until(lambda address=address: is_ready(address), name)

    async def wait_listed(self, names: list[str]) -> None:
        """Wait until the store lists storage machines as members.

        The system has a kind of its own for them, whose entries have their names.

        Raises:
            CaseError: it does not within 30 s.
        """

        async def are_listed() -> bool:
            listed = {key.partition('/')[2] for key in self.store.objects}
            return set(names) <= listed

        await self.wait_until(are_listed, ', '.join(names))

    async def wait_until(self, condition, what: str) -> None:
        """Wait until a condition holds.

        Raises:
            CaseError: it does not within 30 s.
        """
        until = time.monotonic() + 30
        while not await condition():
            if time.monotonic() > until:
                raise CaseError(f'{what} did not become ready')
            await asyncio.sleep(0.02)

    def close(self) -> None:
        """End all processes that were started here, and remove their files."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        self.store.close()
        self.record.close()
        if os.environ.get('KEEP_LOGS'):
            print(self.scratch, file=sys.stderr)
        else:
            shutil.rmtree(self.scratch, ignore_errors=True)


async def is_ready(address: str) -> bool:
    """Return whether a front machine answers that it is ready."""
    ip, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(
                b'GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n'
            )
            head: Head = await read_head(reader)
            writer.close()
    except (OSError, asyncio.IncompleteReadError):
        return False
    return ' 200 ' in f'{head.line} '


def free_ports(count: int) -> list[int]:
    """Return ports that are free on this machine."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(('127.0.0.1', 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def fill(template: Path, fields: dict[str, str]) -> str:
    """Fill in a template of settings with the project's own reader of templates."""
    if str(ROOT) not in sys.path:
        sys.path[:0] = [str(ROOT), str(ROOT / 'target/deps')]
    from pollenwalk.platform.templates import fill_template  # noqa: PLC0415

    return fill_template(template.read_text('utf-8'), fields)


async def start_deployment(
    platform: Platform,
    storage: dict[str, str],
    fronts: dict[str, str],
    memory_mb: tuple[int, int] = (170, 150),
) -> None:
    """Start the store, storage machines and front machines by their zones."""
    await platform.open_store()
    for name, zone in storage.items():
        platform.add('keeper', name, zone, memory_mb[0], first=True)
    for name, zone in fronts.items():
        platform.add('gateway', name, zone, memory_mb[1], first=True)
    await platform.wait_listed(list(storage))
    await platform.wait_ready(list(fronts))
    # Traffic starts some seconds after the machines do.
    await asyncio.sleep(2)


def run_case(folder: Path, case) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it failed."""
    asyncio.run(run_and_exit(Platform(folder), case))


async def run_and_exit(platform: Platform, case) -> None:
    """Run a case, end all processes, and exit with its result."""
    with_trouble = os.environ.get('TROUBLE', '1') != '0'
    code = 2
    try:
        is_broken = await case(platform, with_trouble)
    except Exception as error:
        platform.note(f'the case could not run: {error!r}')
        print(f'not run: {error!r}')
    else:
        verdict = 'the rule was broken' if is_broken else 'the rule held'
        platform.note(verdict)
        print(verdict)
        code = int(is_broken)
    platform.close()
    sys.stdout.flush()
    # Connections that are still open need no further care.
    os._exit(code)
