"""Runs the daemons as processes of their own, for tests and trials."""

import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

from pollenwalk.connection.http_server import free_port
from standin.declarations import DECLARATIONS, REGIONS

LOOPBACK = '127.0.0.1'
CHECK_S = 0.05
PATIENCE_S = 60
STOP_PATIENCE_S = 60


class Processes:
    """Stand-ins, entries and sidecars on loopback; ended by `close`."""

    def __init__(self) -> None:
        """Make a folder for settings and logs."""
        self.folder = Path(tempfile.mkdtemp(prefix='pollenwalk-'))
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.store = ''
        self.peers: list[str] = []
        self.urls: list[str] = []
        self.standins: dict[str, str] = {}
        self.coalesce_ms = 4.0
        self.engine_step_ms = 10.0
        self.slots = 8
        self.traced = False

    def start(self, name: str, *words: str) -> None:
        """Start one `pollenwalk` process."""
        log = (self.folder / f'{name}.log').open('ab')
        self.running[name] = subprocess.Popen(
            [sys.executable, '-m', 'pollenwalk', *words],
            stdout=log,
            stderr=log,
        )

    def write(self, name: str, text: str) -> str:
        """Write a file and give its path."""
        path = self.folder / name
        path.write_text(text, encoding='utf-8')
        return str(path)

    def start_all(self, zones: tuple[str, ...], models: int, plains: int) -> None:
        """Start a whole system and apply the declarations."""
        self.store = self.start_standin('store', 'store')
        self.peers = [f'{LOOPBACK}:{free_port()}' for _ in zones]
        for number, zone in enumerate(zones):
            self.start_entry(number, zone)
        for upstream, kind, standin, count in (
            ('advisory', 'model', 'engine', models),
            ('appraisal', 'model', 'engine', models),
            ('orders', 'plain', 'service', plains),
            ('ledger', 'plain', 'service', plains),
        ):
            for number in range(count):
                name = f'{upstream}-{number}'
                url = self.start_standin(f'standin-{name}', standin)
                self.start_sidecar(name, upstream, kind, url)
        declarations = DECLARATIONS.replace('slots = 8', f'slots = {self.slots}')
        declared = self.write('declared.ini', declarations)
        subprocess.run(
            [
                *(sys.executable, '-m', 'pollenwalk', 'apply'),
                *('--store', self.store, declared),
            ],
            check=True,
            stdout=subprocess.DEVNULL,
        )
        for url in self.urls:
            wait_ok(f'{url}/readyz')

    def start_standin(self, name: str, kind: str) -> str:
        """Start a stand-in and give its URL."""
        address = f'{LOOPBACK}:{free_port()}'
        self.start(
            name,
            *('standin', kind, '--address', address, '--name', name),
            *('--step-ms', str(self.engine_step_ms)),
            *('--slots', str(self.slots)),
        )
        self.standins[name] = f'http://{address}'
        wait_answer(f'http://{address}/')
        return f'http://{address}'

    def start_entry(self, number: int, zone: str) -> None:
        """Start an entry."""
        http = f'{LOOPBACK}:{free_port()}'
        self.urls.append(f'http://{http}')
        regions = '\n'.join(f'{name} = {region}' for name, region in REGIONS.items())
        config = self.write(
            f'entry{number}.ini',
            f'[store]\nurl = {self.store}\n[regions]\n{regions}\n[entry]\n'
            f'address = {self.peers[number]}\nhttp = {http}\nzone = {zone}\n'
            f'{self.tracing(f"entry{number}")}',
        )
        self.start(f'entry{number}', 'entry', '--config', config)

    def start_sidecar(self, name: str, upstream: str, kind: str, url: str) -> None:
        """Start a sidecar beside a stand-in."""
        config = self.write(
            f'{name}.ini',
            f'[sidecar]\nid = {name}\nupstream = {upstream}\nkind = {kind}\n'
            f'address = {LOOPBACK}:{free_port()}\nhttp = {LOOPBACK}:{free_port()}\n'
            f'zone = rimouski\nurl = {url}\nentries = {", ".join(self.peers)}\n'
            f'coalesce_ms = {self.coalesce_ms}\n{self.tracing(name)}',
        )
        self.start(name, 'sidecar', '--config', config)

    def tracing(self, name: str) -> str:
        """Return the settings that keep a process's spans, if they are wanted."""
        if not self.traced:
            return ''
        return f'[process]\ntrace_file = {self.spans_of(name)}\ntrace_share = 1\n'

    def spans_of(self, name: str) -> Path:
        """Return where a process's spans are kept."""
        return self.folder / f'{name}.spans'

    def stop(self, name: str) -> int:
        """Stop a process gracefully and give its exit code."""
        process = self.running.pop(name)
        process.terminate()
        return process.wait(STOP_PATIENCE_S)

    def kill(self, name: str) -> None:
        """End a process at once."""
        process = self.running.pop(name)
        process.kill()
        process.wait(STOP_PATIENCE_S)

    def close(self) -> None:
        """End all processes."""
        for name in list(self.running):
            self.kill(name)


def wait_answer(url: str) -> None:
    """Wait until a URL gives any answer."""
    until = time.monotonic() + PATIENCE_S
    while time.monotonic() < until:
        try:
            urllib.request.urlopen(url, timeout=1).close()
        except urllib.error.HTTPError:
            return
        except OSError:
            time.sleep(CHECK_S)
        else:
            return
    raise TimeoutError(url)


def wait_ok(url: str) -> None:
    """Wait until a URL answers with success."""
    until = time.monotonic() + PATIENCE_S
    while time.monotonic() < until:
        try:
            urllib.request.urlopen(url, timeout=1).close()
        except OSError:
            time.sleep(CHECK_S)
        else:
            return
    raise TimeoutError(url)
