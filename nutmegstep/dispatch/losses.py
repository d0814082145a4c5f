"""Targets that are lost while they run requests.

A target that closes a connection without a response may have crashed, or it may
be at its limit of connections. A crash is confirmed when the target refuses
connections while this VM reaches other targets.
"""

import enum
import math
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass
from typing import Final

from nutmegstep.dispatch.requests import OpenRequest

__all__ = ['Evaluation', 'Loss', 'Losses', 'name_incarnation']

_FORGET_SECONDS: Final = 5.0
"""Time after which a loss is dropped; longer than any check of a target and most
pauses of a process."""


@enum.unique
class Evaluation(enum.Enum):
    """What became of a loss.

    Attributes
    ----------
    CRASHED
        The target has crashed.
    LISTENING
        The target still listens.
    RUN_ELSEWHERE
        Another target of the service has run the request.
    RECHECKED
        The target has to be checked again, as no target was reached.
    UNKNOWN
        The check has brought no result in time.
    """

    CRASHED = 'crashed'
    LISTENING = 'listening'
    RUN_ELSEWHERE = 'run_elsewhere'
    RECHECKED = 'rechecked'
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class Loss:
    """A send that ended as its target closed the connection without a response.

    Attributes
    ----------
    service : str
        Service that the request was sent to.
    target_id : str
        Identifier of the target.
    started_ms : int
        Start of the target's process in Unix milliseconds.
    send_id : int
        Identifier of the send; later sends have greater ones.
    next_send_id : int
        Identifier of the next send when the loss was noticed.
    open_request : OpenRequest
        The request.
    at : float
        Monotonic time of the loss in seconds.
    is_refused : bool
        Whether the target refuses connections.
    evaluation : Evaluation or None
        What became of the loss; None while it is open.
    """

    service: str
    target_id: str
    started_ms: int
    send_id: int
    next_send_id: int
    open_request: OpenRequest
    at: float
    is_refused: bool = False
    evaluation: Evaluation | None = None

    @property
    def content(self) -> str:
        """Digest of the content of the request."""
        return self.open_request.content

    @property
    def incarnation(self) -> str:
        """Identifier of the target's process."""
        return name_incarnation(self.target_id, self.started_ms)


def name_incarnation(target_id: str, started_ms: int) -> str:
    """Return the identifier of a target's process.

    Parameters
    ----------
    target_id : str
        Identifier of the target, which its next process may keep.
    started_ms : int
        Start of the process in Unix milliseconds.
    """
    return f'{target_id}-{started_ms}'


class Losses:
    """Recent losses of this VM."""

    def __init__(self) -> None:
        self._losses: list[Loss] = []

    @property
    def is_empty(self) -> bool:
        """Whether there is no recent loss."""
        return not self._losses

    def is_suspected(self, content: str, since: float = -math.inf) -> bool:
        """Return whether a loss of content is not evaluated yet.

        Parameters
        ----------
        content : str
            Digest of the content.
        since : float, optional
            Monotonic time in seconds; only later losses count.
        """
        return any(
            one.content == content and one.at > since for one in self._open()
        )

    def record(self, loss: Loss) -> bool:
        """Record a loss; return whether its target has to be checked."""
        known = [
            one
            for one in self._losses
            if one.target_id == loss.target_id
            and one.started_ms == loss.started_ms
        ]
        loss.is_refused = any(one.is_refused for one in known)
        self._losses.append(loss)
        return not known

    def record_check(self, target_id: str, *, is_listening: bool) -> list[Loss]:
        """Record whether a target still listens after a loss.

        Returns
        -------
        list of Loss
            Losses that are dropped, as the target listens.
        """
        if is_listening:
            return self._close(
                lambda one: one.target_id == target_id, Evaluation.LISTENING
            )
        for loss in self._losses:
            loss.is_refused |= loss.target_id == target_id
        return []

    def clear(self, content: str, service: str) -> list[Loss]:
        """Close the losses of content that a target of the service has run."""
        return self._close(
            lambda one: one.content == content and one.service == service,
            Evaluation.RUN_ELSEWHERE,
        )

    def recheck(self, known: Container[str]) -> list[Loss]:
        """Return the open losses whose targets have to be checked again.

        Parameters
        ----------
        known : container of str
            Identifiers of the targets that are announced.
        """
        rechecked = [one for one in self._open() if one.target_id in known]
        for loss in rechecked:
            loss.is_refused = False
        return rechecked

    def confirm(self, contact_at: float) -> list[Loss]:
        """Return the losses that have become crashes.

        Parameters
        ----------
        contact_at : float
            Monotonic time in seconds at which this VM last reached a target.
        """
        crashes = [
            one
            for one in self._open()
            if one.is_refused and contact_at >= one.at
        ]
        for loss in crashes:
            loss.evaluation = Evaluation.CRASHED
        return crashes

    def unconfirmed_targets(self) -> frozenset[str]:
        """Return the targets that refuse connections as far as is known."""
        return frozenset(
            one.target_id for one in self._open() if one.is_refused
        )

    def expire(self, now: float) -> list[Loss]:
        """Drop old losses; return those without a result of their check."""
        expired = self._close(
            lambda one: one.at <= now - _FORGET_SECONDS, Evaluation.UNKNOWN
        )
        self._losses = [
            one for one in self._losses if one.at > now - _FORGET_SECONDS
        ]
        return expired

    def _open(self) -> Iterable[Loss]:
        return (one for one in self._losses if one.evaluation is None)

    def _close(
        self, is_closed: Callable[[Loss], bool], evaluation: Evaluation
    ) -> list[Loss]:
        closed = [one for one in self._open() if is_closed(one)]
        for loss in closed:
            loss.evaluation = evaluation
        self._losses = [
            one
            for one in self._losses
            if one.evaluation in {None, Evaluation.CRASHED}
        ]
        return closed
