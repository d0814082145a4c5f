"""Suspicion of slow targets, based on reports of several VMs.

A VM of a large fleet sends less than one request per second to a shard, so it
would recognise a slow target only after several of its queries have waited for
it. VMs therefore report a target that is too slow or does not reply to their
neighbours, the other VMs of the failure domain. Other targets are preferred to
a suspected one, but it is still used if there is no other.
"""

import math
from dataclasses import dataclass
from typing import Final

__all__ = ['Suspicion', 'is_worth_reporting', 'trial_probability']

_WINDOW: Final = 1.0
"""Window in seconds over which reports are counted."""
_MIN_REPORTS: Final = 2.0
"""Minimum number of reports, of at least two VMs, that start a suspicion."""
_REPORTED_SHARE: Final = 0.1
"""Minimum number of reports as a share of the requests that the failure domain
sends in a window. A healthy target is too slow for less than 1 % of them."""
_DECAY: Final = 0.8
"""Factor on the required number of reports. It allows for the exponential decay
of the count, by which reports within one window add up to less than their
number."""
_DURATION: Final = 5.0
"""Time in seconds for which a suspicion lasts after the latest report."""
_MIN_REPORT_INTERVAL: Final = 0.5
"""Minimum time in seconds between two reports to the neighbours about a target
that is already suspected."""
_TRIAL_INTERVAL: Final = 2.0
"""Mean time in seconds between requests of a failure domain that are sent to a
suspected target as if it were healthy. Two of them fit within `_DURATION`, so
that a target that is still slow is reported before the suspicion ends."""
_MIN_REPORTING_INTERVAL: Final = 0.2
"""Minimum time in seconds between a VM's requests for a service at which
reports are useful. VMs with more frequent requests recognise a slow target as
fast by themselves."""


@dataclass(slots=True)
class Suspicion:
    """Reports about one target, including those of this VM.

    Attributes
    ----------
    expires_at : float
        Monotonic time in seconds at which the suspicion ends.
    """

    expires_at: float = -math.inf
    _latest: float = -math.inf
    _count: float = 0
    _reporter: str = ''

    def is_active(self, now: float) -> bool:
        """Return whether the target is suspected."""
        return now < self.expires_at

    def was_recently_reported(self, now: float) -> bool:
        """Return whether a further report to the neighbours is too early."""
        return (
            self.is_active(now)
            and now < self.expires_at - _DURATION + _MIN_REPORT_INTERVAL
        )

    def record_report(self, now: float, rate: float, reporter: str) -> bool:
        """Record a report; extend the suspicion or possibly start one.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        rate : float
            Requests per second that all VMs of the failure domain send to the
            service.
        reporter : str
            Address of the reporting VM; empty for this VM.

        Returns
        -------
        bool
            Whether the report starts the suspicion.
        """
        if self.is_active(now):
            self.expires_at = now + _DURATION
            return False
        is_first = now - self._latest > _WINDOW
        is_same = not is_first and reporter == self._reporter
        self._count = 1 + self._count * math.exp((self._latest - now) / _WINDOW)
        self._latest = now
        self._reporter = reporter
        needed = max(_MIN_REPORTS, _REPORTED_SHARE * rate * _WINDOW)
        if is_first or is_same or self._count < needed * _DECAY:
            return False
        self.expires_at = now + _DURATION
        return True


def is_worth_reporting(interval: float) -> bool:
    """Return whether reports about a service's targets are useful.

    Parameters
    ----------
    interval : float
        Mean time in seconds between this VM's requests for the service.
    """
    return interval >= _MIN_REPORTING_INTERVAL


def trial_probability(interval: float, vms_in_domain: int) -> float:
    """Return the share of requests that ignore the suspicion of a target.

    Parameters
    ----------
    interval : float
        Mean time in seconds between a VM's requests for the service.
    vms_in_domain : int
        Number of VMs that share the suspicion.

    Examples
    --------
    >>> trial_probability(2.0, 20)
    0.05
    """
    return min(1, interval / (vms_in_domain * _TRIAL_INTERVAL))
