"""Starts the project's gateways and keepers as processes, beside the stand-ins."""

import asyncio
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TextIO

from stand_ins.engine import Engine
from stand_ins.http import Answer, exchange
from stand_ins.ports import free_port
from stand_ins.store import Store

ROOT = Path(__file__).resolve().parents[3]
ZONES = {
    'rimouski': 'quebec-est',
    'saguenay': 'quebec-est',
    'gatineau': 'quebec-ouest',
}
# The storage machines and their zones, in the order of their names' zones.
STORAGE = {
    'storage-rimouski-1': 'rimouski',
    'storage-saguenay-1': 'saguenay',
    'storage-gatineau-1': 'gatineau',
}
ROUTE_HOST = 'ficu95.example'
# Exit codes; the scripts turn BROKEN into 1 and every other one but 0 into 2.
HELD, BROKEN, NOT_RUN = 0, 10, 2
READY_S = 15.0
# A script runs for 120 s at most.
LONGEST_S = 116.0


class CannotRun(Exception):
    """The case could not be played, so it shows nothing."""


def with_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Lab:
    """A small deployment: the store, servers, keepers and gateways.

    Attributes:
        processes: the running processes, by the names of their machines.
        addresses: the `ip:port` that callers or other processes use, by name.
    """

    def __init__(self, record: Path) -> None:
        """Prepare a deployment that writes what happens to `record`."""
        self.folder = Path(tempfile.mkdtemp(prefix='pollenwalk-review-'))
        self.record: TextIO = record.open('w')
        self.began = time.monotonic()
        self.store = Store()
        self.engines: list[Engine] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.settings: dict[str, str] = {}
        self.roles: dict[str, str] = {}
        self.ready_at: dict[str, str] = {}
        self.addresses: dict[str, str] = {}
        self.numbers: Iterator[int] = iter(range(1, 1_000_000))

    def note(self, text: str) -> None:
        """Write a line with the time since the start to the record."""
        self.record.write(f'{time.monotonic() - self.began:8.3f} {text}\n')
        self.record.flush()

    @property
    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self.began

    async def start(self, retention_s: float) -> None:
        """Start the store with a configuration, and one server."""
        await self.store.start()
        await self.add_engine('i-7f3a91c2', 'rimouski')
        self.write_configuration(configuration(retention_s))

    def write_configuration(self, spec: dict[str, Any]) -> None:
        """Write a version of the configuration, as the operator does."""
        self.store.put(('config', 'main'), {'spec': spec, 'status': None})
        self.note(f'configuration {spec["version"]}')

    async def add_engine(
        self,
        name: str,
        zone: str,
        service: str = 'conseiller',
        tokens_per_event: int = 16,
    ) -> Engine:
        """Start a model server and list it."""
        engine = Engine(name, tokens_per_event)
        engine.note = self.note
        await engine.start()
        self.engines.append(engine)
        engine.on_back = lambda: self.list_engine(engine, zone, service)
        self.list_engine(engine, zone, service)
        return engine

    def list_engine(self, engine: Engine, zone: str, service: str) -> None:
        """Write the entry of a server that has just started."""
        spec = {
            'service': service,
            'address': engine.address,
            'zone': zone,
            'version': '1.0',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
            'born': int(time.time() * 1000),
        }
        self.store.put(('servers', engine.name), {'spec': spec, 'status': None})

    def add_keeper(
        self, name: str, zone: str, losses: int = 1, first_start: bool = True
    ) -> None:
        """Start a keeper with an empty disk, of a new system or as one more."""
        address = f'127.0.0.1:{free_port()}'
        metrics = f'127.0.0.1:{free_port()}'
        self.addresses[name] = address
        self.roles[name] = 'keeper'
        self.settings[name] = (
            f'[keeper]\nname = {name}\nzone = {zone}\naddress = {address}\n'
            f'metrics = {metrics}\nfolder = {self.folder / name}\n'
            f'tolerated_losses = {losses}\n'
        )
        (self.folder / name).mkdir()
        self.spawn(name, f'first_start = {str(first_start).lower()}\n')

    def add_gateway(self, name: str, zone: str, losses: int = 1) -> None:
        """Start a gateway."""
        address = f'127.0.0.1:{free_port()}'
        ready = f'127.0.0.1:{free_port()}'
        self.addresses[name] = address
        self.ready_at[name] = ready
        self.roles[name] = 'gateway'
        self.settings[name] = (
            f'[gateway]\nname = {name}\nzone = {zone}\nhttp = {address}\n'
            f'ready = {ready}\nmetrics = 127.0.0.1:{free_port()}\ngrace_s = 8\n'
            f'change_delay_ms = 3000\nleave_notice_ms = 3000\n'
            f'tolerated_losses = {losses}\n'
        )
        self.spawn(name, '')

    def spawn(self, name: str, more: str) -> None:
        """Start a process with the command of the deploy file."""
        regions = ''.join(f'{zone} = {region}\n' for zone, region in ZONES.items())
        head = (
            '[process]\nlog_level = INFO\n'
            f'[store]\nurl = http://{self.store.address}\n[regions]\n{regions}'
        )
        path = self.folder / f'{name}.conf'
        path.write_text(f'{head}{self.settings[name]}{more}')
        log = (self.folder / f'{name}.log').open('ab')
        words = ['-m', 'pollenwalk', self.roles[name], '--config', str(path)]
        environment = {
            **os.environ,
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        self.processes[name] = subprocess.Popen(
            [sys.executable, *words],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.note(f'start {name} {self.addresses[name]}')

    def restart(self, name: str) -> None:
        """Start a process again, on the disk that it has left."""
        is_keeper = self.roles[name] == 'keeper'
        self.spawn(name, 'first_start = false\n' if is_keeper else '')

    def wipe(self, name: str) -> None:
        """Empty the disk of a keeper that does not run."""
        shutil.rmtree(self.folder / name)
        (self.folder / name).mkdir()
        self.note(f'wipe {name}')

    async def stop(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process and wait for its end."""
        process = self.processes[name]
        process.send_signal(number)
        self.note(f'signal {number.name} to {name}')
        for _ in range(1000):
            if process.poll() is not None:
                self.note(f'ended {name} {process.returncode}')
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f'{name} has not ended')

    async def wait_ready(self, keepers: int) -> None:
        """Wait until the keepers are listed and all gateways report ready.

        Raises:
            CannotRun: that takes too long.
        """
        give_up_at = time.monotonic() + READY_S
        while time.monotonic() < give_up_at:
            answers = [
                await exchange(address, 'GET', '/v1/ready', {'Host': 'ready'})
                for address in self.ready_at.values()
            ]
            listed = len(self.store.names('keepers'))
            if listed == keepers and all(one.status == 200 for one in answers):
                self.note(f'ready, {listed} keepers')
                return
            await asyncio.sleep(0.1)
        raise CannotRun('the deployment is not ready')

    async def wait_log(self, name: str, text: str, times: int = 1) -> None:
        """Wait until a process has logged a text so many times.

        Raises:
            CannotRun: that takes too long.
        """
        path = self.folder / f'{name}.log'
        give_up_at = time.monotonic() + READY_S
        while time.monotonic() < give_up_at:
            if path.read_text(errors='replace').count(text) >= times:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f'{name} has not logged {text}')

    async def close(self) -> None:
        """End all processes that were started, and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.record.close()
        if os.environ.get('KEEP_LOGS'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def turn_headers(
        self,
        program: str,
        previous: str = '',
        budget: int = 0,
        most: int = 48,
        deadline_ms: int = 3000,
    ) -> tuple[str, dict[str, str]]:
        """Return the id and the headers of a new turn."""
        request_id = f'{next(self.numbers):016x}'
        headers = {
            'Host': ROUTE_HOST,
            'X-Pollenwalk-Request-Id': request_id,
            'X-Pollenwalk-Deadline-Ms': str(deadline_ms),
            'X-Pollenwalk-Program-Id': program,
            'X-Pollenwalk-Session-Id': program,
            'X-Pollenwalk-Token-Usage': f'100,{most}',
        }
        if budget:
            headers['X-Pollenwalk-Token-Budget'] = str(budget)
        if previous:
            headers['X-Pollenwalk-Previous-Turn'] = previous
        return request_id, headers

    async def turn(
        self,
        gateway: str,
        path: str,
        program: str,
        previous: str,
        text: bytes,
        budget: int = 0,
        most: int = 48,
        deadline_ms: int = 3000,
    ) -> tuple[str, Answer]:
        """Send one turn on a new connection; return its id and the answer."""
        request_id, headers = self.turn_headers(
            program, previous, budget, most, deadline_ms
        )
        self.note(f'sent {request_id} to {gateway} previous={previous or "-"}')
        address = self.addresses[gateway]
        answer = await exchange(address, 'POST', path, headers, text)
        self.note(f'answered {request_id} {answer.status} whole={answer.whole}')
        return request_id, answer


def configuration(retention_s: float) -> dict[str, Any]:
    """Return the operator's configuration, in full."""
    guide = {
        'name': 'repair-guide',
        'host': ROUTE_HOST,
        'path_prefix': '/guide/',
        'kind': 'streaming',
        'service': 'conseiller',
        'timeout_ms': 3000,
        'target_latency_ms': 300,
        'gap_aim_ms': 150,
        'priority': 0,
        'max_attempts': 2,
        'sticky': True,
        'resumable': False,
        'retain_history': True,
        'retention_s': retention_s,
    }
    query = {
        **guide,
        'name': 'fit-query',
        'path_prefix': '/fit/',
        'priority': 1,
        'resumable': True,
        'retain_history': False,
    }
    engine = {'slots': 8, 'kv_capacity': 97943, 'tokens_per_event': 16}
    return {
        'version': 7,
        'routes': [guide, query],
        'services': [{'name': 'conseiller', 'max_conns': 140, 'engine': engine}],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 5000,
            'idle_timeout_ms': 20000,
        },
    }


def play(case: Any, folder: Path, retention_s: float) -> int:
    """Play a case and return the exit code of its script.

    Args:
        case: coroutine function that gets the started `Lab` and returns whether
            the rule held.
        folder: folder of the case, for the record.
        retention_s: how long the routes keep turns.
    """
    return asyncio.run(run_case(case, folder, retention_s))


async def run_case(case: Any, folder: Path, retention_s: float) -> int:
    """Play a case in a new deployment, and end all its processes."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    lab = Lab(folder / 'record.txt')
    try:
        async with asyncio.timeout(LONGEST_S):
            await lab.start(retention_s)
            held = await case(lab)
    except (CannotRun, TimeoutError, asyncio.CancelledError) as error:
        lab.note(f'verdict could not run: {error!r}')
        return NOT_RUN
    else:
        lab.note(f'verdict {"held" if held else "broken"}')
        return HELD if held else BROKEN
    finally:
        await lab.close()
