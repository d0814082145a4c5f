"""Events that the reducer takes."""

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
    'LeasesChanged',
    'CallerDisconnected',
    'CatalogueChanged',
    'ClaimRefused',
    'ClaimWon',
    'ControlChanged',
    'DrainStarted',
    'Event',
    'FailureKind',
    'FleetChanged',
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
    """How a target request failed."""

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
    """What a timer is for."""

    DEADLINE = 'deadline'
    HEDGE = 'hedge'
    QUEUE = 'queue'


@dataclass(frozen=True, slots=True)
class TimerKey:
    """Identity of a timer: at most one of each kind per query."""

    kind: TimerKind
    query_id: int


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A caller sent an idempotent query or look-up."""

    query_id: int
    query: IdempotentQuery


@dataclass(frozen=True, slots=True)
class OneShotArrived:
    """A caller sent a non-idempotent request."""

    query_id: int
    request: OneShotRequest


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before the reply."""

    query_id: int


@dataclass(frozen=True, slots=True)
class TargetAnswered:
    """A target answered an attempt; the echoed identifier was checked."""

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
        Index versions that the target said it holds.
    boot_id : str
        Boot identifier of the target, empty when unknown.
    """

    attempt_id: int
    kind: FailureKind
    may_have_run: bool
    held_versions: tuple[int, ...] = ()
    boot_id: str = ''


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the reducer set has expired."""

    timer: TimerKey


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """A newer configuration is in force."""

    fleet: Fleet


@dataclass(frozen=True, slots=True)
class CatalogueChanged:
    """The versions of an index changed; ascending by number."""

    index: str
    versions: tuple[IndexVersion, ...]


@dataclass(frozen=True, slots=True)
class ControlChanged:
    """Withdrawn failure domains or draining targets changed."""

    withdrawn_domains: frozenset[str]
    draining_targets: frozenset[str]


@dataclass(frozen=True, slots=True)
class LeasesChanged:
    """Until when this VM may send to each cold target.

    Instants are monotonic seconds; a target that is not listed gets none.
    """

    lease_expiry_by_target: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class TargetReportedWarm:
    """A peer reports that a target is warm under a boot identifier."""

    target: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class TargetConnectionsLost:
    """The target's side may have restarted.

    It closed or reset the last open connection of this VM, or it refused a
    connect.
    """

    target: str


@dataclass(frozen=True, slots=True)
class TargetConnectionsClosed:
    """This VM closed its last open connection to a target."""

    target: str


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """The claim of a one-shot request belongs to this VM."""

    query_id: int
    permit: SendPermit


@dataclass(frozen=True, slots=True)
class StoredAnswerFound:
    """An earlier attempt ran, and its answer was found."""

    query_id: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The claim was not won; the refusal carries the verdict."""

    query_id: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The process was asked to stop."""


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
