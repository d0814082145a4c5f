"""Records of the replies and failures of the object API."""

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
    """Kind of an API call; the platform limits the rate of each kind."""

    GET = 'get'
    PUT = 'put'
    DELETE = 'delete'
    WATCH = 'watch'
    VMS = 'vms'


@enum.unique
class PlatformFailureKind(enum.Enum):
    """Reason why a call failed."""

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
        Reason of the failure.
    detail : str
        Description of the failure for operators.
    may_have_applied : bool
        Whether the call is a write that may have taken effect; False for
        reads.
    """

    kind: PlatformFailureKind
    detail: str
    may_have_applied: bool = False


@dataclass(frozen=True, slots=True)
class StoredObject:
    """A stored object; `version` is its entity tag."""

    name: str
    version: str
    document: bytes


@dataclass(frozen=True, slots=True)
class ChangedObject:
    """An object that was changed or deleted.

    Its entity tag `version` is empty if the object was deleted.
    """

    name: str
    version: str


@dataclass(frozen=True, slots=True)
class WatchReply:
    """Reply to a watch call.

    Parameters
    ----------
    revision : int
        Revision of the store; to be passed as `since` to the next watch.
    changed : tuple of ChangedObject
        Objects changed after `since`; empty if none changed within the poll
        time.
    """

    revision: int
    changed: tuple[ChangedObject, ...]


@dataclass(frozen=True, slots=True)
class VmRecord:
    """Entry of the platform's list of VMs.

    Parameters
    ----------
    name : str
        Name of the VM.
    address : str
        Address for peers of its entry process, ``host:port``.
    failure_domain : str
        Failure domain of the VM.
    leaving : bool
        Whether the platform is going to stop the VM soon.
    """

    name: str
    address: str
    failure_domain: str
    leaving: bool = False
