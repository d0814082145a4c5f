"""Data classes for the configuration in force, requests and answers.

They hold no validation: the modules that read requests, declarations and
stored objects check their input and then build these classes.
"""

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
    """Priority class of a service.

    The members are in order of falling priority. When the queues are full,
    queries of the lowest class are dropped first.
    """

    CRITICAL = 'critical'
    INTERACTIVE = 'interactive'
    BATCH = 'batch'


@enum.unique
class CoverageRule(enum.Enum):
    """Whether an answer of a service must cover all of its shards."""

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
        IP address.
    port : int
        TCP port.
    failure_domain : str
        Name of the failure domain in which the target runs.
    slots : int
        Number of requests that the target executes concurrently.
    cold_slots : int
        Number of requests that the target executes concurrently while it is
        cold; a limit for the sum over all VMs.
    connections : int
        Limit for the open connections to the target, summed over all VMs.
    ramp_step : datetime.timedelta
        Minimum time between two doublings of the load of a cold target.
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
    """One partition of an index and the targets that hold it.

    Parameters
    ----------
    name : str
        Name, unique within the index version.
    group : str
        Name of the shard group; a service queries whole groups.
    replicas : tuple of str
        Names of the targets that hold the shard.
    """

    name: str
    group: str
    replicas: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class IndexVersion:
    """One snapshot of an index with its shard map.

    Parameters
    ----------
    number : int
        Version number of the snapshot.
    shards_by_name : Mapping
        All shards of the snapshot by name.
    """

    number: int
    shards_by_name: Mapping[str, Shard]


@dataclass(frozen=True, slots=True)
class Service:
    """A declared service.

    Parameters
    ----------
    name : str
        Unique name.
    index : str
        Name of the index whose shards the service queries.
    groups : tuple of str
        Names of the shard groups that a query covers.
    work_class : WorkClass
        Priority class.
    coverage : CoverageRule
        Whether partial answers are allowed.
    timeout : datetime.timedelta
        Maximum time for a request.
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
        Number of the published configuration, which grows with every
        accepted publication; 0 before the first one.
    services_by_name : Mapping
        Declared services by name.
    targets_by_name : Mapping
        Declared targets by name.
    entry_vms_max : int
        Maximum number of entry VMs that are alive at the same time, including
        replacements.
    entry_vms_by_domain : Mapping
        Declared number of entry VMs of each failure domain.
    """

    generation: int
    services_by_name: Mapping[str, Service]
    targets_by_name: Mapping[str, Target]
    entry_vms_max: int
    entry_vms_by_domain: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class IdempotentQuery:
    """An idempotent request, which may be executed any number of times.

    Parameters
    ----------
    request_id : str
        Identifier of the caller's request.
    service : str
        Name of the service.
    body : bytes
        JSON document that is sent for each shard.
    deadline : float
        Instant by which the caller needs the answer, in monotonic time in
        seconds.
    record_key : str or None
        Key of the record to look up, which selects the shard; None for a
        query over all shards.
    traceparent : str
        W3C `traceparent` value for the requests to targets; empty if the
        request is not traced.
    """

    request_id: str
    service: str
    body: bytes
    deadline: float
    record_key: str | None = None
    traceparent: str = ''


@dataclass(frozen=True, slots=True)
class OneShotRequest:
    """A non-idempotent request, which must be executed at most once.

    It is a type of its own so that functions that retry or hedge requests
    cannot be called with one.

    Parameters
    ----------
    request_id : str
        Identifier of the caller's request.
    service : str
        Name of the service.
    record_key : str
        Key of the record, which selects the shard.
    idempotency_key : uuid.UUID
        UUID version 7 that the caller chose and keeps when it sends the
        request again.
    body : bytes
        JSON document that is sent for the shard.
    deadline : float
        Instant by which the caller needs the answer, in monotonic time in
        seconds.
    traceparent : str
        W3C `traceparent` value for the requests to targets; empty if the
        request is not traced.
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
    """Permit to send a one-shot request once.

    It is issued only after a claim on the idempotency key was won.

    Parameters
    ----------
    idempotency_key : uuid.UUID
        Key of the request.
    nonce : bytes
        Random bytes that identify the attempt that won the claim.
    """

    idempotency_key: UUID
    nonce: bytes


@dataclass(frozen=True, slots=True)
class LackingShard:
    """A shard that an answer does not cover, with the reason.

    Parameters
    ----------
    name : str
        Name of the shard.
    reason : str
        Reason as callers see it.
    """

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer whose results all come from the same index version.

    Parameters
    ----------
    service : str
        Name of the service.
    index_version : int
        Number of the index version.
    covered : tuple of str
        Names of the shards that answered.
    lacking : tuple of LackingShard
        All other shards of the service in that index version.
    results_by_shard : Mapping
        JSON document of each covered shard by shard name, as bytes.
    """

    service: str
    index_version: int
    covered: tuple[str, ...]
    lacking: tuple[LackingShard, ...]
    results_by_shard: Mapping[str, bytes]

    @property
    def complete(self) -> bool:
        """Whether the answer covers all shards of the service."""
        return not self.lacking
