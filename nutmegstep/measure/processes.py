"""Processor time and memory of processes, read from ``/proc``."""

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Final

__all__ = ['has_child', 'processor_seconds', 'resident_kilobytes']

# Positions of utime and stime in /proc/<pid>/stat, counted from the field
# after the command name, which ends with ')'.
_USER_FIELD: Final = 11
_SYSTEM_FIELD: Final = 12


def processor_seconds(pids: Iterable[int | str]) -> float:
    """Return the user and system time of processes in seconds, summed.

    Examples
    --------
    >>> processor_seconds([os.getpid()]) > 0
    True
    """
    return sum(map(_ticks, pids)) / os.sysconf('SC_CLK_TCK')


def resident_kilobytes(pid: int | str) -> int:
    """Return the resident set size of a process in KiB."""
    status = Path(f'/proc/{pid}/status').read_text()
    line = next(
        line for line in status.splitlines() if line.startswith('VmRSS')
    )
    return int(line.split()[1])


def has_child(pid: int | str) -> bool:
    """Return whether a process has a child process."""
    tasks = Path(f'/proc/{pid}/task').iterdir()
    return any((task / 'children').read_text().strip() for task in tasks)


def _ticks(pid: int | str) -> int:
    text = Path(f'/proc/{pid}/stat').read_text()
    parts = text.rsplit(')', 1)[1].split()
    return int(parts[_USER_FIELD]) + int(parts[_SYSTEM_FIELD])
