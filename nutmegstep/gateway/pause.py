"""Detects that the process was paused, and what it must read again then.

A paused process knows neither the changes of the configuration nor those of the
targets that it has missed, and its connections may have been lost.
"""

import logging
from datetime import timedelta
from typing import Final

__all__ = ['PauseDetector']

_LOG: Final = logging.getLogger(__name__)
_MIN_PAUSE: Final = timedelta(seconds=1.5)
"""Shortest time without any event that counts as a pause. Housekeeping causes an
event every 0.5 s, and a change must be in force after 3 s at the soonest."""


class PauseDetector:
    """Notices a gap between two events of the event loop.

    Parameters
    ----------
    now : float
        Monotonic time of the start in seconds. The clock must advance while the
        VM is suspended.
    """

    def __init__(self, now: float) -> None:
        self._latest = now

    def record_event(self, now: float) -> bool:
        """Record an event; return whether a pause has ended with it.

        Parameters
        ----------
        now : float
            Monotonic time of the event in seconds.
        """
        pause = now - self._latest
        self._latest = now
        if pause < _MIN_PAUSE.total_seconds():
            return False
        _LOG.warning('process was paused', extra={'seconds': round(pause, 3)})
        return True
