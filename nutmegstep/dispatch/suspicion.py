"""What the VMs of a failure domain tell each other about targets.

A VM of a large fleet sends less than one request a second to a shard, so it
would learn a slow target only after some queries have waited for it. VMs
therefore report a target that does not answer in time to their neighbours.
Reports never keep a target from being used; they make others preferred.
"""

import math
from dataclasses import dataclass
from typing import Final

__all__ = ['Suspicion', 'is_worth_reporting', 'trial_probability']

_WINDOW: Final = 1.0
"""Seconds over which reports are counted."""
_MIN_REPORTS: Final = 2.0
"""Reports, of two VMs at least, that start a suspicion."""
_REPORTED_SHARE: Final = 0.1
"""The same as a share of the requests of the failure domain in the window. A
healthy target takes too long for less than one request in a hundred."""
_DECAY: Final = 0.8
"""Part of the reports within a window that its decay leaves."""
_DURATION: Final = 5.0
"""Seconds for which a confirmed suspicion lasts after the latest report."""
_MIN_REPORT_INTERVAL: Final = 0.5
"""Seconds after a report of a suspected target before the next one is worth
a message."""
_TRIAL_INTERVAL: Final = 2.0
"""Seconds between requests of a failure domain that try a suspected target;
two of them fit within `_DURATION`."""
_MIN_REPORTING_INTERVAL: Final = 0.2
"""Seconds between requests for a service from which on a VM reports. One that
sends more learns as fast by itself."""


@dataclass(slots=True)
class Suspicion:
    """Reports about one target, this VM's own ones included.

    Attributes
    ----------
    expires_at : float
        Monotonic instant at which the suspicion lapses.
    """

    expires_at: float = -math.inf
    _latest: float = -math.inf
    _count: float = 0
    _reporter: str = ''

    def is_active(self, now: float) -> bool:
        """Whether other targets are preferred."""
        return now < self.expires_at

    def was_recently_reported(self, now: float) -> bool:
        """Whether another report would tell the neighbours nothing."""
        return (
            self.is_active(now)
            and now < self.expires_at - _DURATION + _MIN_REPORT_INTERVAL
        )

    def record_report(self, now: float, rate: float, reporter: str) -> bool:
        """Take a report; return whether it starts the suspicion.

        Parameters
        ----------
        now : float
            Monotonic instant.
        rate : float
            Requests per second of the failure domain for the service.
        reporter : str
            Name of the VM.
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
    """Return whether neighbours need reports about a service's targets.

    Parameters
    ----------
    interval : float
        Mean time in seconds between this VM's requests for the service.
    """
    return interval >= _MIN_REPORTING_INTERVAL


def trial_probability(interval: float, vms_in_domain: int) -> float:
    """Return the share of requests that ignore a suspicion.

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
