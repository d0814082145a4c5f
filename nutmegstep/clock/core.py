"""The clock that is passed to everything that needs the time."""

import time
from datetime import UTC, datetime, timedelta
from typing import Final, Protocol

__all__ = ['Clock', 'ManualClock', 'SystemClock']


class Clock(Protocol):
    """Source of monotonic instants and of dates."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    def now(self) -> datetime:
        """Return the date and time in UTC."""


class SystemClock:
    """Clock of the VM.

    Notes
    -----
    Instants come from ``CLOCK_BOOTTIME``, which goes on while a VM is
    suspended. ``CLOCK_MONOTONIC`` stops then, and a suspended VM would
    believe on its return that its promises are still valid.
    """

    def monotonic(self) -> float:
        """Return seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the date and time in UTC."""
        return datetime.now(UTC)


_FIRST_DATE: Final = datetime.fromisoformat('2026-01-01T00:00:00+00:00')


class ManualClock:
    """Clock that only moves when told to.

    Examples
    --------
    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic()
    1.5
    """

    def __init__(
        self,
        monotonic: float = 0,
        now: datetime = _FIRST_DATE,
    ) -> None:
        self._start = now
        self._first = monotonic
        self._monotonic = monotonic

    def monotonic(self) -> float:
        """Return the instant set by `advance`."""
        return self._monotonic

    def now(self) -> datetime:
        """Return the date that belongs to the instant."""
        return self._start + timedelta(seconds=self._monotonic - self._first)

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        self._monotonic += seconds
