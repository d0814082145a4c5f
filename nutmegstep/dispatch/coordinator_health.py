"""Which coordinators are blocked after failures."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

__all__ = ['CoordinatorHealth']

_MIN_BACKOFF: Final = 0.5
"""Seconds for which a coordinator is blocked after a first failure."""
_BACKOFF_STEPS: Final = 4
"""Maximum number of times that the blocked time is doubled."""
_PAUSE: Final = 0.1
"""Seconds after a failure in which even the last resort is not asked again; the
time in which a process or a link that was lost for a moment may be back."""


@dataclass(slots=True)
class CoordinatorHealth:
    """Failures of the coordinators, by their addresses."""

    _failures: dict[str, int] = field(default_factory=dict)
    _blocked_until: dict[str, float] = field(default_factory=dict)
    _failed_at: dict[str, float] = field(default_factory=dict)

    def first_usable(self, addresses: Iterable[str], now: float) -> str | None:
        """Return the first address that is not blocked, or None."""
        return next(
            (
                address
                for address in addresses
                if self._blocked_until.get(address, 0) <= now
            ),
            None,
        )

    def last_resort(self, addresses: Iterable[str], now: float) -> str | None:
        """Return the address whose block ends first, or None.

        It is for requests that fail if no other VM is asked. An address that has
        just failed is left out.
        """
        rested = (
            address
            for address in addresses
            if now >= self._failed_at.get(address, 0) + _PAUSE
        )
        return min(
            rested,
            key=lambda address: self._blocked_until.get(address, 0),
            default=None,
        )

    def record_success(self, address: str) -> None:
        """Unblock a coordinator that has answered."""
        self._failures.pop(address, None)
        self._blocked_until.pop(address, None)
        self._failed_at.pop(address, None)

    def record_failure(self, address: str, now: float) -> None:
        """Block a coordinator, longer after each failure in a row.

        A failure while it is blocked is that of a request which it had got before,
        and shows nothing new. Counted, a few requests that were lost together would
        block a coordinator for much longer than it is away.
        """
        self._failed_at[address] = now
        if now < self._blocked_until.get(address, 0):
            return
        failures = self._failures.get(address, 0)
        self._failures[address] = min(failures + 1, _BACKOFF_STEPS)
        self._blocked_until[address] = now + _MIN_BACKOFF * 2**failures

    def retain(self, addresses: Iterable[str]) -> None:
        """Forget the coordinators that are not in use any more."""
        for address in self._failures.keys() - set(addresses):
            self.record_success(address)
