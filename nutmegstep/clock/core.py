"""Clocks, which are passed as arguments to code that needs the time."""

import time
from datetime import UTC, datetime, timedelta
from typing import Final, Protocol

__all__ = ['Clock', 'ManualClock', 'SystemClock']


class Clock(Protocol):
    """Source of monotonic times and of dates."""

    def monotonic(self) -> float:
        """Return the monotonic time in seconds; it never goes back."""

    def now(self) -> datetime:
        """Return the date and time in UTC."""


class SystemClock:
    """Clock of the operating system.

    Notes
    -----
    Monotonic times come from ``CLOCK_BOOTTIME``, which advances while the VM
    is suspended. ``CLOCK_MONOTONIC`` does not, so that leases that expired
    during a suspension would still seem valid on the resumed VM.
    """

    def monotonic(self) -> float:
        """Return the time since boot in seconds, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the date and time in UTC."""
        return datetime.now(UTC)


_DEFAULT_DATE: Final = datetime.fromisoformat('2026-01-01T00:00:00+00:00')


class ManualClock:
    """Clock for tests and simulations that moves only with `advance`.

    Parameters
    ----------
    monotonic : float, optional
        Initial monotonic time in seconds.
    now : datetime.datetime, optional
        Initial date and time in UTC.

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
        now: datetime = _DEFAULT_DATE,
    ) -> None:
        self._initial_date = now
        self._initial_monotonic = monotonic
        self._monotonic = monotonic

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return self._monotonic

    def now(self) -> datetime:
        """Return the date and time that match the monotonic time."""
        return self._initial_date + timedelta(
            seconds=self._monotonic - self._initial_monotonic
        )

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        self._monotonic += seconds
