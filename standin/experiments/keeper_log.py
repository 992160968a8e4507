"""What a keeper needs to hold, compact and read again records of a given size.

Each size is measured in a process of its own, whose peak memory counts.
"""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

from pollenwalk.process.clock import MS_PER_SECOND, LoopClock
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.process.logs import set_up_logs
from pollenwalk.process.record_log import RecordLog
from pollenwalk.program.turns import SettleTokens, TurnRecord
from standin.experiments.measure import KIB

# Sizes of the records that are needed, in MB.
LIVE_MB = (10, 100, 300)
BYTES_PER_MB = 1_000_000
INPUT_BYTES = 100_000
# Of so many turns, KEPT_TURNS are kept for long.
TURNS = 5
KEPT_TURNS = 2
# Longer than a record without retention is kept, and shorter than one with.
EXPIRED_AFTER_MS = 40_000.0
LONG_MS = 60_000.0
STORED_TOGETHER = 10
APPEND_INTERVAL_S = 0.005
HIGH_QUANTILE = 0.99


class ShiftedClock(LoopClock):
    """A clock that can be set forward.

    Attributes:
        shift_ms: by how much it is ahead.
    """

    shift_ms = 0.0

    def now_ms(self) -> float:
        """Return the shifted monotonic time in ms."""
        return super().now_ms() + self.shift_ms


class Figures(NamedTuple):
    """What one size needs.

    Attributes:
        live_mb: size of the records that are needed.
        peak_mb: most memory of a process that stores and compacts them.
        written_for_kept: bytes written by the compaction for each byte needed.
        disk_mb: size of the log after the compaction.
        append_p99_ms: high quantile of an append while that goes on.
        start_s: time to read the log at the next start.
        start_peak_mb: most memory of the process that does so.
    """

    live_mb: int
    peak_mb: float
    written_for_kept: float
    disk_mb: float
    append_p99_ms: float
    start_s: float
    start_peak_mb: float


def peak_mb() -> float:
    """Return the most memory that this process has used so far, in MB."""
    status = Path('/proc/self/status').read_text(encoding='ascii')
    peak = next(line for line in status.splitlines() if line.startswith('VmHWM:'))
    return int(peak.split()[1]) * KIB / BYTES_PER_MB


def folder_mb(folder: Path) -> float:
    """Return the size of all files in a folder, in MB."""
    return sum(path.stat().st_size for path in folder.iterdir()) / BYTES_PER_MB


def written_bytes() -> int:
    """Return how many bytes this process has written so far."""
    lines = Path('/proc/self/io').read_text(encoding='ascii').splitlines()
    fields = dict(line.split(': ') for line in lines)
    return int(fields['wchar'])


async def store(state: KeeperState, count: int) -> None:
    """Store turns of which `count` stay and the others expire soon."""
    for start in range(0, count * TURNS // KEPT_TURNS, STORED_TOGETHER):
        numbers = range(start, start + STORED_TOGETHER)
        await asyncio.gather(*(state.store_record(turn(one)) for one in numbers))


def turn(number: int) -> TurnRecord:
    """Return a turn with a large input; some of them are kept for long."""
    retention_ms = LONG_MS if number % TURNS < KEPT_TURNS else 0
    text = os.urandom(INPUT_BYTES)
    return TurnRecord(f't{number}', 'p', '', text, b'', 5, retention_ms, ['a', 'b'])


async def append_until(state: KeeperState, ended: asyncio.Task[None]) -> list[float]:
    """Store small records until a task has ended; return how long each took, in ms."""
    took_ms: list[float] = []
    number = 0
    while not ended.done():
        number += 1
        began_s = time.monotonic()
        await state.store_record(SettleTokens('q', f's{number}', 1, LONG_MS))
        took_ms.append((time.monotonic() - began_s) * MS_PER_SECOND)
        await asyncio.sleep(APPEND_INTERVAL_S)
    return took_ms


async def write(folder: Path, live_mb: int) -> dict[str, float]:
    """Store records, let most of them expire, and compact the log."""
    clock = ShiftedClock()
    state = KeeperState(RecordLog(folder), clock)
    state.open(True)
    writing = asyncio.ensure_future(state.log.run())
    await store(state, live_mb * BYTES_PER_MB // INPUT_BYTES)
    clock.shift_ms = EXPIRED_AFTER_MS
    state.expire()
    before = written_bytes()
    compacting = asyncio.ensure_future(state.compact())
    took_ms = sorted(await append_until(state, compacting))
    await compacting
    written = written_bytes() - before
    writing.cancel()
    state.log.close()
    return {
        'peak_mb': peak_mb(),
        'written_for_kept': written / (live_mb * BYTES_PER_MB),
        'disk_mb': folder_mb(folder),
        'append_p99_ms': took_ms[int(len(took_ms) * HIGH_QUANTILE)],
    }


async def read(folder: Path) -> dict[str, float]:
    """Open the log as a start does."""
    state = KeeperState(RecordLog(folder), LoopClock())
    began_s = time.monotonic()
    state.open(False)
    took_s = time.monotonic() - began_s
    state.log.close()
    return {'start_s': took_s, 'start_peak_mb': peak_mb()}


def run_step(step: str, folder: Path, live_mb: int) -> dict[str, float]:
    """Run one step in a process of its own and return its figures."""
    command = [sys.executable, '-m', __name__, step, str(folder), str(live_mb)]
    output = subprocess.run(command, check=True, capture_output=True, text=True)
    figures: dict[str, float] = json.loads(output.stdout)
    return figures


def measure(live_mb: int) -> Figures:
    """Measure one size."""
    with tempfile.TemporaryDirectory(prefix='pollenwalk-') as scratch:
        folder = Path(scratch) / 'keeper'
        written = run_step('write', folder, live_mb)
        return Figures(live_mb, **written, **run_step('read', folder, live_mb))


def run(seed: int) -> dict[str, Any]:
    """Measure all sizes; nothing is drawn from the seed."""
    return {'seed': seed, 'sizes': [measure(size)._asdict() for size in LIVE_MB]}


def main() -> None:
    """Run the step that the arguments name."""
    set_up_logs('CRITICAL')
    _, step, folder, live_mb = sys.argv
    path = Path(folder)
    work = write(path, int(live_mb)) if step == 'write' else read(path)
    sys.stdout.write(json.dumps(asyncio.run(work)))


if __name__ == '__main__':
    main()
