"""Events that the reducer handles.

The runtime numbers the requests of the callers; `query_id` is that number,
for queries and one-shot requests alike. A peer is another entry VM. The boot
identifier of a target changes with each restart of its process.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from nutmegstep.model import (
    Answer,
    Fleet,
    IdempotentQuery,
    IndexVersion,
    OneShotRequest,
    SendPermit,
)
from nutmegstep.verdict import Refusal

__all__ = [
    'CallerDisconnected',
    'CatalogueChanged',
    'ClaimRefused',
    'ClaimWon',
    'ControlChanged',
    'DrainStarted',
    'Event',
    'FailureKind',
    'FleetChanged',
    'LeasesChanged',
    'OneShotArrived',
    'QueryArrived',
    'StoredAnswerFound',
    'TargetAnswered',
    'TargetConnectionsClosed',
    'TargetConnectionsLost',
    'TargetFailed',
    'TargetReportedWarm',
    'TimerFired',
    'TimerKey',
    'TimerKind',
]


@enum.unique
class FailureKind(enum.Enum):
    """How a target request failed.

    Attributes
    ----------
    CONNECT
        No connection could be established.
    RESET
        The connection was closed or reset.
    TIMEOUT
        The deadline passed.
    SHED
        The target refused the request because of its load.
    DRAINING
        The target, or the control state just before the send, said that the
        target is draining.
    VERSION_GONE
        The target does not hold the index version.
    INVALID
        The request or the response is not valid.
    SILENT
        No byte of the response arrived on the connection, while a newer
        connection to the target was answered.
    CANCELLED
        The attempt was cancelled.
    NO_CONNECTION
        The request was not sent: no connection was available, or the target
        could not be used any more.
    ERROR
        The target answered with any other error status.
    """

    CONNECT = 'connect'
    RESET = 'reset'
    TIMEOUT = 'timeout'
    SHED = 'shed'
    DRAINING = 'draining'
    VERSION_GONE = 'version_gone'
    INVALID = 'invalid'
    SILENT = 'silent'
    CANCELLED = 'cancelled'
    NO_CONNECTION = 'no_connection'
    ERROR = 'error'


@enum.unique
class TimerKind(enum.Enum):
    """Purpose of a timer."""

    DEADLINE = 'deadline'
    HEDGE = 'hedge'


@dataclass(frozen=True, slots=True)
class TimerKey:
    """Identity of a timer; a request has at most one of each kind."""

    kind: TimerKind
    query_id: int


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A caller sent an idempotent query over all shards or for one record."""

    query_id: int
    query: IdempotentQuery


@dataclass(frozen=True, slots=True)
class OneShotArrived:
    """A caller sent a one-shot (non-idempotent) request."""

    query_id: int
    request: OneShotRequest


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """A caller closed its connection before the reply."""

    query_id: int


@dataclass(frozen=True, slots=True)
class TargetAnswered:
    """A target answered an attempt.

    The sender of this event has checked that the response echoes the attempt
    identifier.

    Parameters
    ----------
    attempt_id : int
        The attempt.
    index_version : int
        Index version of the result according to the response.
    boot_id : str
        Boot identifier of the target.
    body : bytes
        JSON document.
    """

    attempt_id: int
    index_version: int
    boot_id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class TargetFailed:
    """An attempt failed.

    Parameters
    ----------
    attempt_id : int
        The attempt.
    kind : FailureKind
        How it failed.
    may_have_run : bool
        False only when no byte was handed to the kernel, or when the target
        stated that it did not execute the request.
    held_versions : tuple of int
        Index versions that the target holds according to its response.
    boot_id : str
        Boot identifier of the target; empty if unknown.
    """

    attempt_id: int
    kind: FailureKind
    may_have_run: bool
    held_versions: tuple[int, ...] = ()
    boot_id: str = ''


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set with `SetTimer` has expired."""

    timer: TimerKey


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """A configuration was received.

    It is ignored unless its generation is higher than that of the one in
    force.
    """

    fleet: Fleet


@dataclass(frozen=True, slots=True)
class CatalogueChanged:
    """The list of versions of an index changed.

    Parameters
    ----------
    index : str
        Name of the index.
    versions : tuple of IndexVersion
        All its versions, ascending by number.
    """

    index: str
    versions: tuple[IndexVersion, ...]


@dataclass(frozen=True, slots=True)
class ControlChanged:
    """The withdrawn failure domains or the draining targets changed."""

    withdrawn_domains: frozenset[str]
    draining_targets: frozenset[str]


@dataclass(frozen=True, slots=True)
class LeasesChanged:
    """The leases of this VM for cold targets changed.

    Parameters
    ----------
    lease_expiry_by_target : Mapping
        Monotonic time in seconds until which this VM may send requests to
        each cold target. It has no lease for targets that are not listed.
    """

    lease_expiry_by_target: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class TargetReportedWarm:
    """A peer reports that a target with this boot identifier is warm."""

    target: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class TargetConnectionsLost:
    """A target may have restarted.

    The target closed or reset the last open connection of this VM, or it
    refused a new connection.
    """

    target: str


@dataclass(frozen=True, slots=True)
class TargetConnectionsClosed:
    """This VM closed its last open connection to a target.

    Until the next answer it cannot tell whether the target has restarted.
    """

    target: str


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """This VM won the claim of a one-shot request and may send it once."""

    query_id: int
    permit: SendPermit


@dataclass(frozen=True, slots=True)
class StoredAnswerFound:
    """An earlier attempt of a one-shot request ran; its answer is stored."""

    query_id: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The claim of a one-shot request was not won.

    The refusal tells the reason and whether an attempt may have run.
    """

    query_id: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """A stop was requested; the process stops once its requests have ended."""


Event = (
    QueryArrived
    | OneShotArrived
    | CallerDisconnected
    | TargetAnswered
    | TargetConnectionsClosed
    | TargetConnectionsLost
    | TargetFailed
    | TimerFired
    | FleetChanged
    | CatalogueChanged
    | ControlChanged
    | LeasesChanged
    | TargetReportedWarm
    | ClaimWon
    | StoredAnswerFound
    | ClaimRefused
    | DrainStarted
)
