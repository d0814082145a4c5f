"""Targets that are lost while they run requests.

A target that closes a connection without a response may have crashed, because
of the request or with many others at once, or it may be at its limit of
connections.
"""

import enum
from collections import defaultdict
from collections.abc import Container, Mapping
from dataclasses import dataclass
from typing import Final

__all__ = ['Evaluation', 'Loss', 'Losses']

_SETTLE_SECONDS: Final = 0.25
"""Time between a loss and its evaluation. Targets that are lost within it are
lost together."""
_MASS_LOSSES: Final = 2
"""Other targets lost together with one from which the request is not suspected:
a failure domain or a rack lost its power, for instance."""
_FORGET_SECONDS: Final = 5.0
"""Time after which a loss is dropped; longer than any check of a target and most
pauses of a process."""


@enum.unique
class Evaluation(enum.Enum):
    """What became of a loss.

    Attributes
    ----------
    SUSPECTED
        The target has crashed, and the request is suspected.
    LISTENING
        The target still listens.
    RUN_ELSEWHERE
        Another target has run the request.
    MASS_LOSS
        Too many targets without the request were lost with this one.
    SAME_ROUND
        Another loss of the same round of sends was counted.
    RECHECKED
        The target has to be checked again, as no target was reached.
    """

    SUSPECTED = 'suspected'
    LISTENING = 'listening'
    RUN_ELSEWHERE = 'run_elsewhere'
    MASS_LOSS = 'mass_loss'
    SAME_ROUND = 'same_round'
    RECHECKED = 'rechecked'


@dataclass(slots=True)
class Loss:
    """A send that ended as its target closed the connection without a response.

    Attributes
    ----------
    content : str
        Digest of the content of the request.
    round_of_sends : tuple of int
        Identifier of the request within this process, and the number of targets
        that the part has been sent to. Losses of one round of sends to many
        shards count as one; a power cut costs such a request many targets.
    target_id : str
        Identifier of the target.
    incarnation : str
        The same, with the start of its process.
    at : float
        Monotonic time of the loss in seconds.
    is_crash : bool
        Whether the target no longer listens.
    is_settled : bool
        Whether the loss has been evaluated, or need not be.
    evaluation : Evaluation or None
        Latest evaluation.
    """

    content: str
    round_of_sends: tuple[int, int]
    target_id: str
    incarnation: str
    at: float
    is_crash: bool = False
    is_settled: bool = False
    evaluation: Evaluation | None = None


class Losses:
    """Recent losses of this VM."""

    def __init__(self) -> None:
        self._losses: list[Loss] = []

    @property
    def is_empty(self) -> bool:
        """Whether there is no recent loss."""
        return not self._losses

    def record(self, loss: Loss) -> bool:
        """Record a loss; return whether its target has to be checked."""
        known = [one for one in self._losses if one.target_id == loss.target_id]
        loss.is_crash = any(one.is_crash for one in known)
        self._losses.append(loss)
        return not known

    def record_check(self, target_id: str, *, is_listening: bool) -> list[Loss]:
        """Record whether a target still listens after a loss.

        Returns
        -------
        list of Loss
            Losses that are dropped, as the target listens.
        """
        checked = [one for one in self._losses if one.target_id == target_id]
        if is_listening:
            self._losses = [
                one for one in self._losses if one.target_id != target_id
            ]
            return _evaluate(checked, Evaluation.LISTENING)
        for loss in checked:
            loss.is_crash = True
        return []

    def clear(self, content: str) -> list[Loss]:
        """Do not suspect content that a target has run.

        Returns
        -------
        list of Loss
            Losses that need no evaluation any more.
        """
        cleared = [
            one
            for one in self._losses
            if one.content == content and not one.is_settled
        ]
        for loss in cleared:
            loss.is_settled = True
        return _evaluate(cleared, Evaluation.RUN_ELSEWHERE)

    def recheck(self, known: Container[str]) -> list[Loss]:
        """Return the losses whose targets are checked again before they count
        as crashed.

        Parameters
        ----------
        known : container of str
            Identifiers of the targets that are announced.
        """
        open_losses = [
            one
            for one in self._losses
            if not one.is_settled and one.target_id in known
        ]
        for loss in open_losses:
            loss.is_crash = False
        return _evaluate(open_losses, Evaluation.RECHECKED)

    def settle(self, now: float) -> list[Loss]:
        """Evaluate the crashes that are due, once each, and return them."""
        self._losses = [
            one for one in self._losses if one.at > now - _FORGET_SECONDS
        ]
        crashes = [one for one in self._losses if one.is_crash]
        lost_at_by_target = {one.target_id: one.at for one in crashes}
        targets_by_content: dict[str, set[str]] = defaultdict(set)
        for crash in crashes:
            targets_by_content[crash.content].add(crash.target_id)
        settled = {one.round_of_sends for one in crashes if one.is_settled}
        evaluated: list[Loss] = []
        for loss in crashes:
            if loss.is_settled or loss.at > now - _SETTLE_SECONDS:
                continue
            loss.is_settled = True
            own = targets_by_content[loss.content]
            loss.evaluation = Evaluation.SUSPECTED
            if _is_mass_loss(loss, lost_at_by_target, own):
                loss.evaluation = Evaluation.MASS_LOSS
            elif loss.round_of_sends in settled:
                loss.evaluation = Evaluation.SAME_ROUND
            evaluated.append(loss)
            settled.add(loss.round_of_sends)
        return evaluated


def _evaluate(losses: list[Loss], evaluation: Evaluation) -> list[Loss]:
    for loss in losses:
        loss.evaluation = evaluation
    return losses


def _is_mass_loss(
    loss: Loss, lost_at_by_target: Mapping[str, float], own: Container[str]
) -> bool:
    """Return whether targets without the request were lost with this one."""
    others = sum(
        abs(at - loss.at) <= _SETTLE_SECONDS and target_id not in own
        for target_id, at in lost_at_by_target.items()
    )
    return others >= _MASS_LOSSES
