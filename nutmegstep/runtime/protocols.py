"""Protocols through which the runtime reaches other parts."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from nutmegstep.engine.effects import (
    RecordClaimOutcome,
    ReportWarm,
    SendToTarget,
)
from nutmegstep.engine.events import TargetAnswered, TargetFailed
from nutmegstep.model import OneShotRequest

__all__ = [
    'ClaimService',
    'ObservedSend',
    'OutcomeCallback',
    'RequestEnd',
    'RequestObserver',
    'RequestTrace',
    'SendObserver',
    'WarmReporter',
]

OutcomeCallback = Callable[[TargetAnswered | TargetFailed], None]


class ClaimService(Protocol):
    """Claims the keys of one-shot requests at the platform.

    Notes
    -----
    Neither method waits. The outcome of a claim comes back through
    `Runtime.dispatch` as exactly one `ClaimWon`, `StoredAnswerFound` or
    `ClaimRefused` with the same `query_id`.
    """

    def claim(self, request: OneShotRequest, query_id: int) -> None:
        """Start to claim the key of a request; checks the key's date too."""

    def record_claim_outcome(self, effect: RecordClaimOutcome) -> None:
        """Take note of how a won claim ended."""


class WarmReporter(Protocol):
    """Tells other VMs that a target is warm."""

    def report_warm(self, effect: ReportWarm) -> None:
        """Send the report; does not wait."""


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How a request of a caller ended.

    Parameters
    ----------
    status : int
        Status code of the reply; 0 when there was none.
    outcome : str
        ``answer``, ``partial``, the reason of the refusal, or
        ``caller_gone``.
    verdict : str
        Wire name of the verdict; empty unless the request was refused.
    """

    status: int
    outcome: str
    verdict: str = ''


class RequestTrace(Protocol):
    """One observed request of a caller."""

    @property
    def traceparent(self) -> str:
        """Trace context that target requests pass on."""

    @property
    def end(self) -> Callable[[RequestEnd], None]:
        """Function that records the end of the request."""


class RequestObserver(Protocol):
    """Records spans, metrics and log lines of callers' requests."""

    def begin(
        self,
        service: str,
        request_id: str,
        traceparent: str,
    ) -> RequestTrace:
        """Start to observe a request.

        Parameters
        ----------
        service : str
            Name from the request; may be unknown.
        request_id : str
            The caller's request identifier.
        traceparent : str
            Trace context that the caller sent, or an empty string.
        """

    def count_early_refusal(self, reason: str) -> None:
        """Count a request that was refused by its head."""


@dataclass(frozen=True, slots=True)
class ObservedSend:
    """A target request that is observed.

    Parameters
    ----------
    effect : SendToTarget
        The request with the trace context of its own span.
    report : Callable
        Takes the outcome in place of the original function.
    """

    effect: SendToTarget
    report: OutcomeCallback


SendObserver = Callable[[SendToTarget, OutcomeCallback], ObservedSend]
"""Starts to observe a target request."""
