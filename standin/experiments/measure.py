"""Readings of processes and straight lines through them."""

import os
import time
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
USER_FIELD = 13
SYSTEM_FIELD = 14
KIB = 1024


class Reading(NamedTuple):
    """A process at one moment.

    Attributes:
        cpu_s: processor time so far.
        memory_bytes: resident memory.
        at_s: when it was read.
    """

    cpu_s: float
    memory_bytes: int
    at_s: float


class Line(NamedTuple):
    """A straight line through measured points.

    Attributes:
        slope: growth for each unit.
        base: value at zero.
        residual: root mean square of what the line leaves.
        points: the measured points.
    """

    slope: float
    base: float
    residual: float
    points: list[tuple[float, float]]

    def at(self, where: float) -> float:
        """Return the line's value."""
        return self.base + self.slope * where


def read_process(pid: int) -> Reading:
    """Read a process's processor time and memory."""
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = stat.rpartition(')')[2].split()
    # The fields behind the name begin with the third.
    ticks = int(fields[USER_FIELD - 2]) + int(fields[SYSTEM_FIELD - 2])
    status = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    resident = next(line for line in status.splitlines() if line.startswith('VmRSS:'))
    return Reading(
        ticks / TICKS_PER_S,
        int(resident.split()[1]) * KIB,
        time.monotonic(),
    )


def cpu_share(before: Reading, after: Reading) -> float:
    """Return the share of one core that was used between two readings."""
    return (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s)


def fit(points: list[tuple[float, float]]) -> Line:
    """Fit a straight line by least squares."""
    places = np.array([point[0] for point in points])
    heights = np.array([point[1] for point in points])
    slope, base = np.polyfit(places, heights, 1)
    left = heights - (slope * places + base)
    residual = float(np.sqrt(np.mean(left**2)))
    return Line(float(slope), float(base), residual, points)


def as_json(value: Any) -> Any:
    """Turn nested results into JSON."""
    if isinstance(value, Line):
        return value._asdict()
    if isinstance(value, dict):
        return {key: as_json(one) for key, one in value.items()}
    return value
