"""Effects of the dispatcher, which the gateway carries out."""

from collections.abc import Mapping
from dataclasses import dataclass

from nutmegstep.coordinators import DelegationTerms
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.control_effects import (
    CheckTarget,
    DeleteCrash,
    DropTarget,
    PublishCrash,
    ReportSuspect,
    ReturnSends,
    SendMessage,
    WriteRollout,
)
from nutmegstep.dispatch.events import RoutedRequest, TargetReply
from nutmegstep.verdict import Refusal

__all__ = [
    'CancelDelegation',
    'CancelSend',
    'CheckTarget',
    'Decision',
    'DeclineDelegation',
    'Delegate',
    'DeleteCrash',
    'DeliverMerged',
    'DeliverRefusal',
    'DeliverReply',
    'DropTarget',
    'Effect',
    'PublishCrash',
    'ReportSuspect',
    'ReturnSends',
    'SendMessage',
    'SendRequest',
    'WakeAt',
    'WriteRollout',
]


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send a request to a target.

    Parameters
    ----------
    send_id : int
        Identifier of the send within this process.
    request : RoutedRequest
        Request to send.
    target : TargetRecord
        Target to send it to.
    expires_at : float
        Monotonic time in seconds at which the send fails. The target is told
        how much time is left, and may stop working then.
    connection_limit : int
        Maximum number of open connections of this VM to the target.
    is_repeatable : bool
        Whether the request may run more than once. Only such a request may
        use an idle connection, which the target may be closing.
    """

    send_id: int
    request: RoutedRequest
    target: TargetRecord
    expires_at: float
    connection_limit: int
    is_repeatable: bool


@dataclass(frozen=True, slots=True)
class CancelSend:
    """Cancel a send; the target stops working when its connection closes."""

    send_id: int


@dataclass(frozen=True, slots=True)
class Delegate:
    """Pass a request to a coordinator or another VM.

    Parameters
    ----------
    request : RoutedRequest
        Request of the caller.
    delegation_id : int
        Identifier of the delegation, which no send has either.
    terms : DelegationTerms
        Terms for the other VM.
    address : str
        ``host:port`` of the other VM.
    expires_at : float
        Monotonic time in seconds by which the caller is answered.
    is_repeatable : bool
        Whether the request may run more than once.
    """

    request: RoutedRequest
    delegation_id: int
    terms: DelegationTerms
    address: str
    expires_at: float
    is_repeatable: bool = True


@dataclass(frozen=True, slots=True)
class CancelDelegation:
    """End a delegation; the coordinator cancels the query."""

    delegation_id: int


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Schedule a `RequestDue` event; replaces an earlier one of the request.

    Parameters
    ----------
    request_id : int
        Request to check.
    instant : float
        Monotonic time in seconds.
    """

    request_id: int
    instant: float


@dataclass(frozen=True, slots=True)
class DeliverReply:
    """Answer a request with the reply of a single target.

    Parameters
    ----------
    request_id : int
        Request to answer.
    reply : TargetReply
        Reply of the target.
    target_id : str
        Identifier of the target; empty if a coordinator passed its reply on.
    """

    request_id: int
    reply: TargetReply
    target_id: str = ''


@dataclass(frozen=True, slots=True)
class DeliverMerged:
    """Answer a request with the greatest records of the shards that replied.

    Parameters
    ----------
    request_id : int
        Request to answer.
    signatures : tuple of str
        Signatures of the replies that were merged.
    missing : int
        Number of shards without a reply.
    body : bytes
        Merged records, greatest first.
    """

    request_id: int
    signatures: tuple[str, ...]
    missing: int
    body: bytes


@dataclass(frozen=True, slots=True)
class DeliverRefusal:
    """Refuse a request."""

    request_id: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class DeclineDelegation:
    """Return a delegated query, of which nothing was sent, to its sender.

    Parameters
    ----------
    request_id : int
        Request to return.
    reason : str
        Why this VM does not coordinate it.
    """

    request_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class Decision:
    """Decision of the dispatcher to be logged and counted.

    Parameters
    ----------
    name : str
        Name of the decision.
    attempt_id : str
        Identifier that the caller gave to its request; empty for a decision
        that does not concern a single request.
    inputs : Mapping
        Values that led to the decision; the names contain the units.
    """

    name: str
    attempt_id: str
    inputs: Mapping[str, object]


Effect = (
    SendRequest
    | CancelSend
    | CheckTarget
    | Delegate
    | CancelDelegation
    | DeleteCrash
    | DropTarget
    | PublishCrash
    | ReportSuspect
    | ReturnSends
    | SendMessage
    | WriteRollout
    | WakeAt
    | DeliverReply
    | DeliverMerged
    | DeliverRefusal
    | DeclineDelegation
    | Decision
)
