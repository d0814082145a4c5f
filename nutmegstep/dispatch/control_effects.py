"""Effects that concern targets, the store and other VMs, not single requests."""

from collections.abc import Mapping
from dataclasses import dataclass

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.control_events import CrashRecord
from nutmegstep.rollouts import Outcome

__all__ = [
    'CheckTarget',
    'DeleteCrash',
    'DropTarget',
    'PublishCrash',
    'ReportSuspect',
    'ReturnSends',
    'SendMessage',
    'WriteRollout',
]


@dataclass(frozen=True, slots=True)
class DropTarget:
    """Close the idle connections to a target that is no longer used."""

    target_id: str


@dataclass(frozen=True, slots=True)
class ReturnSends:
    """End the sends that wait for a connection to a target; nothing has run."""

    target_id: str


@dataclass(frozen=True, slots=True)
class ReportSuspect:
    """Report to the neighbours that a target is too slow or does not reply.

    Neighbours are the other VMs of the same failure domain.
    """

    target_id: str


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a datagram to other VMs; it may be lost.

    Parameters
    ----------
    receivers : tuple of str
        Names of the VMs. VMs that are not known are left out.
    kind : str
        Kind of the message.
    content : Mapping
        JSON value; see `nutmegstep.gateway.vm_messages` for its size.
    """

    receivers: tuple[str, ...]
    kind: str
    content: Mapping[str, object]


@dataclass(frozen=True, slots=True)
class WriteRollout:
    """Write the state of a roll-out to the store.

    Parameters
    ----------
    service, version : str
        Service and version of the order.
    revision : int
        Revision of the order; the write fails if the store holds another one.
    outcome : Outcome
        State to write.
    """

    service: str
    version: str
    revision: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class CheckTarget:
    """Check whether a target that closed a connection still listens."""

    target: TargetRecord


@dataclass(frozen=True, slots=True)
class PublishCrash:
    """Write a crash record to the store."""

    record: CrashRecord


@dataclass(frozen=True, slots=True)
class DeleteCrash:
    """Delete a crash record from the store."""

    record: CrashRecord
