"""Typed replies and failures of the object API."""

import enum
from dataclasses import dataclass

__all__ = [
    'CallKind',
    'ChangedObject',
    'PlatformFailure',
    'PlatformFailureKind',
    'StoredObject',
    'VmRecord',
    'WatchReply',
]


@enum.unique
class CallKind(enum.Enum):
    """Kind of a call; the platform's limits count each kind."""

    GET = 'get'
    PUT = 'put'
    DELETE = 'delete'
    WATCH = 'watch'
    VMS = 'vms'


@enum.unique
class PlatformFailureKind(enum.Enum):
    """Why a call gave no value."""

    UNREACHABLE = 'unreachable'
    TIMEOUT = 'timeout'
    UNAVAILABLE = 'unavailable'
    NOT_FOUND = 'not_found'
    CONFLICT = 'conflict'
    TOO_LARGE = 'too_large'
    REJECTED = 'rejected'
    INVALID_REPLY = 'invalid_reply'


@dataclass(frozen=True, slots=True)
class PlatformFailure:
    """A call that failed.

    Parameters
    ----------
    kind : PlatformFailureKind
        Why.
    detail : str
        One sentence for a person.
    may_have_applied : bool
        Whether a write may have taken effect; always False for reads.
    """

    kind: PlatformFailureKind
    detail: str
    may_have_applied: bool = False


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object with its entity tag."""

    name: str
    version: str
    document: bytes


@dataclass(frozen=True, slots=True)
class ChangedObject:
    """An object that changed; `version` is empty when it was deleted."""

    name: str
    version: str


@dataclass(frozen=True, slots=True)
class WatchReply:
    """Reply of a watch.

    Parameters
    ----------
    revision : int
        Value of `since` for the next watch.
    changed : tuple of ChangedObject
        Objects changed after `since`; empty when the poll ran out.
    """

    revision: int
    changed: tuple[ChangedObject, ...]


@dataclass(frozen=True, slots=True)
class VmRecord:
    """A VM of the platform's list.

    Parameters
    ----------
    name : str
        Name of the VM.
    address : str
        ``host:port`` of its entry process for peers.
    failure_domain : str
        Failure domain of the VM.
    leaving : bool
        Whether the platform is about to stop the VM.
    """

    name: str
    address: str
    failure_domain: str
    leaving: bool = False
