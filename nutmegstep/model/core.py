"""Data classes used inside; validated models at the border build them."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from uuid import UUID

__all__ = [
    'Answer',
    'CoverageRule',
    'Fleet',
    'IdempotentQuery',
    'IndexVersion',
    'LackingShard',
    'OneShotRequest',
    'SendPermit',
    'Service',
    'Shard',
    'Target',
    'WorkClass',
]


@enum.unique
class WorkClass(enum.Enum):
    """Priority class of a service; the lowest is dropped first."""

    CRITICAL = 'critical'
    INTERACTIVE = 'interactive'
    BATCH = 'batch'


@enum.unique
class CoverageRule(enum.Enum):
    """Whether a service may answer for a part of its shards."""

    WHOLE = 'whole'
    PARTIAL = 'partial'


@dataclass(frozen=True, slots=True)
class Target:
    """One back-end server process.

    Parameters
    ----------
    name : str
        Unique name.
    host : str
        IP number.
    port : int
        TCP port.
    failure_domain : str
        Name of the failure domain that holds the target.
    slots : int
        Requests that the target executes at the same time.
    cold_slots : int
        The same during a cold start, summed over all VMs.
    connections : int
        Most open connections, summed over all VMs.
    ramp_step : datetime.timedelta
        Shortest time between two doublings of the load of a cold target.
    """

    name: str
    host: str
    port: int
    failure_domain: str
    slots: int
    cold_slots: int
    connections: int
    ramp_step: timedelta = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Shard:
    """One partition of an index and the targets that hold it."""

    name: str
    group: str
    replicas: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class IndexVersion:
    """One snapshot of an index with its shard map."""

    number: int
    shards_by_name: Mapping[str, Shard]


@dataclass(frozen=True, slots=True)
class Service:
    """What the declaration of a service asks for.

    Parameters
    ----------
    name : str
        Unique name.
    index : str
        Index whose shards the service queries.
    groups : tuple of str
        Shard groups of the index that a query covers.
    work_class : WorkClass
        Priority class.
    coverage : CoverageRule
        Whether partial answers are allowed.
    timeout : datetime.timedelta
        Longest time for a request.
    """

    name: str
    index: str
    groups: tuple[str, ...]
    work_class: WorkClass
    coverage: CoverageRule
    timeout: timedelta


@dataclass(frozen=True, slots=True)
class Fleet:
    """The configuration in force.

    Parameters
    ----------
    generation : int
        Grows with every accepted publication; 0 means none.
    services_by_name : Mapping
        Declared services.
    targets_by_name : Mapping
        Declared targets.
    entry_vms_max : int
        Most entry VMs alive at the same time, replacements included.
    entry_vms_by_domain : Mapping
        Number of entry VMs that each failure domain has.
    """

    generation: int
    services_by_name: Mapping[str, Service]
    targets_by_name: Mapping[str, Target]
    entry_vms_max: int
    entry_vms_by_domain: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class IdempotentQuery:
    """A request that may run any number of times.

    Parameters
    ----------
    request_id : str
        Identifier of the caller's request.
    service : str
        Name of the service.
    body : bytes
        JSON document passed to each shard.
    deadline : float
        Monotonic instant in seconds.
    record_key : str or None
        Key of a look-up; None for a query over all shards.
    traceparent : str
        W3C trace context of the caller's hop.
    """

    request_id: str
    service: str
    body: bytes
    deadline: float
    record_key: str | None = None
    traceparent: str = ''


@dataclass(frozen=True, slots=True)
class OneShotRequest:
    """A non-idempotent request; retry and hedge functions do not take it.

    Parameters
    ----------
    request_id : str
        Identifier of the caller's request.
    service : str
        Name of the service.
    record_key : str
        Key of the record; chooses the shard.
    idempotency_key : uuid.UUID
        UUID version 7 that stays the same for every repeat.
    body : bytes
        JSON document passed to the shard.
    deadline : float
        Monotonic instant in seconds.
    traceparent : str
        W3C trace context of the caller's hop.
    """

    request_id: str
    service: str
    record_key: str
    idempotency_key: UUID
    body: bytes
    deadline: float
    traceparent: str = ''


@dataclass(frozen=True, slots=True)
class SendPermit:
    """Right to send a one-shot request once; exists only after a won claim."""

    idempotency_key: UUID
    nonce: bytes


@dataclass(frozen=True, slots=True)
class LackingShard:
    """A shard that an answer does not cover, with the reason."""

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer over one snapshot.

    Parameters
    ----------
    service : str
        Name of the service.
    index_version : int
        Snapshot of all results.
    covered : tuple of str
        Names of the shards that answered.
    lacking : tuple of LackingShard
        Every other shard of the service in the shard map of the snapshot.
    results_by_shard : Mapping
        JSON document of each covered shard, as bytes.
    """

    service: str
    index_version: int
    covered: tuple[str, ...]
    lacking: tuple[LackingShard, ...]
    results_by_shard: Mapping[str, bytes]

    @property
    def complete(self) -> bool:
        """Whether no shard is lacking."""
        return not self.lacking
