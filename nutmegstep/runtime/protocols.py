"""Protocols that other packages implement for the runtime and its callers."""

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
"""Called with the outcome of a target request."""


class ClaimService(Protocol):
    """Claims the keys of one-shot requests at the platform.

    Notes
    -----
    Neither method blocks. The result of each claim is passed to
    `Runtime.dispatch` as exactly one `ClaimWon`, `StoredAnswerFound` or
    `ClaimRefused` with the same `query_id`.
    """

    def claim(self, request: OneShotRequest, query_id: int) -> None:
        """Start claiming the key of a request, after checking the key's date.

        Parameters
        ----------
        request : OneShotRequest
            The request.
        query_id : int
            Identifier of the request in the engine.
        """

    def record_claim_outcome(self, effect: RecordClaimOutcome) -> None:
        """Record how the request of a won claim ended.

        Parameters
        ----------
        effect : RecordClaimOutcome
            The key, the answer if there is one, and whether the request may
            have run.
        """


class WarmReporter(Protocol):
    """Reports warm targets to other VMs."""

    def report_warm(self, effect: ReportWarm) -> None:
        """Start sending a report, without blocking.

        Parameters
        ----------
        effect : ReportWarm
            The target and its boot identifier.
        """


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """Outcome of a caller's request, for spans, metrics and logs.

    Parameters
    ----------
    status : int
        HTTP status code of the response; 0 if there was none.
    outcome : str
        ``answer`` for a complete answer, ``partial`` for an incomplete one,
        the value of the `Reason` of a refusal, or ``caller_gone``.
    verdict : str
        Value of the `Verdict` of a refusal; empty for an answer.
    """

    status: int
    outcome: str
    verdict: str = ''


class RequestTrace(Protocol):
    """Trace of one request of a caller."""

    @property
    def traceparent(self) -> str:
        """W3C trace context for the target requests of this request."""

    @property
    def end(self) -> Callable[[RequestEnd], None]:
        """Function that ends the span and records the outcome."""


class RequestObserver(Protocol):
    """Records spans, metrics and log lines for callers' requests."""

    def begin(
        self,
        service: str,
        request_id: str,
        traceparent: str,
    ) -> RequestTrace:
        """Start the span of a request.

        Parameters
        ----------
        service : str
            Name of the service in the request; may be unknown.
        request_id : str
            The caller's request identifier.
        traceparent : str
            W3C trace context from the caller; empty if there is none.
        """

    def count_early_refusal(self, reason: str) -> None:
        """Count a request that was refused before it reached the runtime.

        Parameters
        ----------
        reason : str
            Value of the `Reason` of the refusal.
        """


@dataclass(frozen=True, slots=True)
class ObservedSend:
    """A target request with its span.

    Parameters
    ----------
    effect : SendToTarget
        The request, with the trace context of its span.
    report : Callable
        Records the outcome and passes it to the original callback.
    """

    effect: SendToTarget
    report: OutcomeCallback


SendObserver = Callable[[SendToTarget, OutcomeCallback], ObservedSend]
"""Starts the span of a target request, given the request and the callback for
its outcome."""
