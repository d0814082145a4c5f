"""Effects of the dispatcher: what the gateway has to do."""

from collections.abc import Mapping
from dataclasses import dataclass

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.events import RoutedRequest, TargetReply
from nutmegstep.verdict import Refusal

__all__ = [
    'CancelSend',
    'Decision',
    'DeliverMerged',
    'DeliverRefusal',
    'DeliverReply',
    'DropTarget',
    'Effect',
    'ReportSuspect',
    'SendRequest',
    'WakeAt',
]


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send a request to a target.

    Parameters
    ----------
    send_id : int
        Identifier of the send within this process.
    request : RoutedRequest
        The request.
    target : TargetRecord
        Where to send it.
    expires_at : float
        Monotonic instant at which the send fails and the target may stop.
    connection_limit : int
        Most open connections of this VM to the target.
    """

    send_id: int
    request: RoutedRequest
    target: TargetRecord
    expires_at: float
    connection_limit: int
    is_repeatable: bool


@dataclass(frozen=True, slots=True)
class CancelSend:
    """End a send; the target drops the work when its connection closes."""

    send_id: int


@dataclass(frozen=True, slots=True)
class DropTarget:
    """Close the idle connections to a target that is not used any more."""

    target_id: str


@dataclass(frozen=True, slots=True)
class ReportSuspect:
    """Tell the neighbours about a target that does not answer in time."""

    target_id: str


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Report `RequestDue` at an instant; replaces an earlier one."""

    request_id: int
    instant: float


@dataclass(frozen=True, slots=True)
class DeliverReply:
    """Pass on the reply of a single target."""

    request_id: int
    reply: TargetReply


@dataclass(frozen=True, slots=True)
class DeliverMerged:
    """Answer with the greatest records of the covered shards.

    Parameters
    ----------
    request_id : int
        The request.
    signatures : tuple of str
        Signatures of the parts that are covered.
    missing : int
        Number of shards that are not covered.
    body : bytes
        Records, greatest first.
    """

    request_id: int
    signatures: tuple[str, ...]
    missing: int
    body: bytes


@dataclass(frozen=True, slots=True)
class DeliverRefusal:
    """Answer with a typed refusal."""

    request_id: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision to be logged.

    Parameters
    ----------
    name : str
        What was decided.
    attempt_id : str
        Identifier of the request; empty when no request is concerned.
    inputs : Mapping
        What decided it, with units in the names.
    """

    name: str
    attempt_id: str
    inputs: Mapping[str, object]


Effect = (
    SendRequest
    | CancelSend
    | DropTarget
    | ReportSuspect
    | WakeAt
    | DeliverReply
    | DeliverMerged
    | DeliverRefusal
    | Decision
)
