"""Events that change what the dispatcher knows, apart from single requests."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from nutmegstep.configuration import Configuration
from nutmegstep.coordinators import CoordinatorChoice
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.rollout_events import RolloutEvent

__all__ = [
    'ConfigurationChanged',
    'ConfigurationRead',
    'ControlEvent',
    'CrashDeleted',
    'CrashRecord',
    'CrashStored',
    'CrashesListed',
    'DomainsWithdrawn',
    'HousekeepingDue',
    'ProcessResumed',
    'StopScheduled',
    'StoreRecovered',
    'StoreRefreshed',
    'StoreRestored',
    'TargetAnnounced',
    'TargetChecked',
    'TargetRemoved',
    'TargetsListed',
    'TargetsSuspected',
    'VmsCounted',
]


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A version of the configuration was read."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """The store said that the version that was read last is the newest."""


@dataclass(frozen=True, slots=True)
class TargetsListed:
    """The complete list of target announcements was read."""

    records_by_id: Mapping[str, TargetRecord]


@dataclass(frozen=True, slots=True)
class TargetAnnounced:
    """A target was announced or changed its announcement."""

    record: TargetRecord


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """The announcement of a target was deleted or cannot be read."""

    target_id: str


@dataclass(frozen=True, slots=True)
class DomainsWithdrawn:
    """The set of withdrawn failure domains was read."""

    domains: frozenset[str]


@dataclass(frozen=True, slots=True)
class ProcessResumed:
    """The process was paused and may have missed changes in the store."""


@dataclass(frozen=True, slots=True)
class StoreRefreshed:
    """All watched kinds were read again after a pause."""


@dataclass(frozen=True, slots=True)
class StopScheduled:
    """This VM stops.

    Parameters
    ----------
    ends_at : float
        Monotonic time in seconds by which all requests have to be answered.
    """

    ends_at: float


@dataclass(frozen=True, slots=True)
class StoreRecovered:
    """The store answers again after an outage."""


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store has lost what was written to it in the last seconds.

    It was restored from a copy. Nothing has been read from it since.
    """


@dataclass(frozen=True, slots=True)
class VmsCounted:
    """The number of VMs that share the targets was estimated.

    Parameters
    ----------
    count : int
        Number of all VMs, including this one.
    in_domain : int
        Number of VMs in the failure domain of this VM, including this one.
    coordinators : CoordinatorChoice
        Coordinators of queries.
    domain_by_vm : Mapping
        Failure domains of the VMs by name, this one included.
    is_counted : bool
        Whether the others have counted this VM since before it was started.
    """

    count: int
    in_domain: int
    coordinators: CoordinatorChoice = CoordinatorChoice()
    domain_by_vm: Mapping[str, str] = field(default_factory=dict)
    is_counted: bool = False


@dataclass(frozen=True, slots=True)
class TargetsSuspected:
    """Another VM of the failure domain reported targets as too slow.

    Parameters
    ----------
    target_ids : tuple of str
        Identifiers of the reported targets.
    reporter : str
        Address of the VM that sent the report.
    """

    target_ids: tuple[str, ...]
    reporter: str


@dataclass(frozen=True, slots=True)
class HousekeepingDue:
    """It is time to look for expired targets.

    These are targets that were kept after an outage of the store and have not
    announced themselves again.
    """


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Record in the store of a crash and of the content that was in flight.

    Parameters
    ----------
    content : str
        Digest of the content of a request that the target was running.
    incarnation : str
        Identifier of the target that crashed, and the start of its process. A
        target that is started again may keep its identifier.
    generation : int
        Number of crashes in a row, each of a send that was made when the one
        before was known; 0 if it is not known.
    service : str
        Service of the target; empty if it is not known.
    is_probe : bool
        Whether the target was running a probe, and nothing yet shows that the
        content is the cause.
    """

    content: str
    incarnation: str
    generation: int = 0
    service: str = ''
    is_probe: bool = False


@dataclass(frozen=True, slots=True)
class CrashesListed:
    """The complete list of crash records was read."""

    records: frozenset[CrashRecord]


@dataclass(frozen=True, slots=True)
class CrashStored:
    """A crash record was added to the store."""

    record: CrashRecord


@dataclass(frozen=True, slots=True)
class CrashDeleted:
    """A crash record was deleted from the store."""

    record: CrashRecord


@dataclass(frozen=True, slots=True)
class TargetChecked:
    """A target was checked after it had closed a connection.

    Parameters
    ----------
    target_id : str
        Identifier of the target.
    is_listening : bool
        False if it refuses connections.
    """

    target_id: str
    is_listening: bool


ControlEvent = (
    ConfigurationChanged
    | ConfigurationRead
    | RolloutEvent
    | CrashDeleted
    | CrashStored
    | CrashesListed
    | DomainsWithdrawn
    | HousekeepingDue
    | ProcessResumed
    | StopScheduled
    | StoreRecovered
    | StoreRefreshed
    | StoreRestored
    | TargetAnnounced
    | TargetChecked
    | TargetRemoved
    | TargetsListed
    | TargetsSuspected
    | VmsCounted
)
