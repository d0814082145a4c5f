"""Buffered log output that never blocks the process."""

import asyncio
import logging
import os
from collections import deque
from typing import Final

from pythonjsonlogger.json import JsonFormatter

__all__ = ['BufferedLineHandler', 'configure_buffered_logs']

_MAX_LINES: Final = 2000
"""Maximum number of lines that wait to be written."""
_FLUSH_SECONDS: Final = 0.25
"""Time in seconds for which lines are collected before a write."""
_NEWLINE: Final = b'\n'
_BATCH_BYTES: Final = 65536
"""Size in bytes at which a batch of lines is written."""


class BufferedLineHandler(logging.Handler):
    """Collects log lines and writes them to a file without blocking.

    If the reader of the file, such as the other end of a pipe, does not keep
    up, the oldest waiting lines are dropped and counted.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.

    Attributes
    ----------
    dropped : int
        Number of lines that were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b''
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Add a record to the lines of the next write."""
        if len(self._lines) >= _MAX_LINES:
            self._lines.popleft()
            self.dropped += 1
        self._lines.append(self.format(record).encode('utf-8', 'replace'))
        self._schedule_flush()

    def flush(self) -> None:
        """Write as many lines as possible without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the error cannot be logged.
                self.dropped += len(self._lines) + self._unwritten.count(
                    _NEWLINE
                )
                self._lines.clear()
                self._unwritten = b''
                return
            self._unwritten = self._unwritten[written:]

    def _next_batch(self) -> bytes:
        batch: list[bytes] = []
        size = 0
        while self._lines and size < _BATCH_BYTES:
            line = self._lines.popleft()
            batch.append(line)
            size += len(line)
        return b'%b\n' % b'\n'.join(batch)

    def _schedule_flush(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        if self._timer is None:
            self._timer = loop.call_later(_FLUSH_SECONDS, self._flush_on_timer)

    def _flush_on_timer(self) -> None:
        self._timer = None
        self.flush()
        if self._unwritten or self._lines:
            self._schedule_flush()


def configure_buffered_logs(level: str, descriptor: int) -> BufferedLineHandler:
    """Write log records of `level` and above as JSON lines.

    Parameters
    ----------
    level : str
        Name of a logging level.
    descriptor : int
        File descriptor to write to; it is made non-blocking.

    Returns
    -------
    BufferedLineHandler
        The handler of the root logger.
    """
    handler = BufferedLineHandler(descriptor)
    handler.setFormatter(
        JsonFormatter(
            '%(asctime)s %(levelname)s %(message)s',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
        ),
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    return handler
