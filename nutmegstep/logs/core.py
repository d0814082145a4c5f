"""Log lines that never block the process and use bounded memory."""

import asyncio
import logging
import os
from collections import deque
from typing import Final

from pythonjsonlogger.json import JsonFormatter

__all__ = ['BufferedLineHandler', 'configure_buffered_logs']

_MAX_LINES: Final = 2000
"""Lines that wait for a reader of standard output."""
_FLUSH_SECONDS: Final = 0.25
"""Time in which lines come together for one write."""
_BATCH_BYTES: Final = 65536


class BufferedLineHandler(logging.Handler):
    """Collects lines and writes them to a descriptor without blocking.

    When the reader does not keep up, the oldest waiting lines are dropped
    and counted.

    Parameters
    ----------
    descriptor : int
        Where to write; it is made non-blocking.

    Attributes
    ----------
    dropped : int
        Lines that were not written.
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
        """Keep a line for the next write."""
        if len(self._lines) >= _MAX_LINES:
            self._lines.popleft()
            self.dropped += 1
        self._lines.append(self.format(record).encode('utf-8', 'replace'))
        self._schedule_flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere to report it.
                self.dropped += len(self._lines)
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
        Where to write.
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
