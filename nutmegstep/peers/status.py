"""Status that an entry VM reports to operators."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from pydantic import TypeAdapter

__all__ = ['EntryStatus', 'decode_status', 'encode_status']


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryStatus:
    """Status of an entry VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    failure_domain : str
        Failure domain of the VM.
    ready : bool
        Whether the health check succeeds, so that the load balancer sends
        requests of callers to the VM.
    generation : int
        Generation of the configuration in force; 0 means none.
    configuration_digest : str
        Digest of the configuration in force.
    highest_generation : int
        Highest generation that the platform or another VM has reported, or
        that of the configuration in force.
    configuration_source : str
        Where the configuration in force came from: ``platform``, ``peers``
        or ``none``.
    withdrawn : tuple of str
        Withdrawn failure domains.
    draining : tuple of str
        Draining targets.
    view : tuple of str
        This VM and the VMs whose last heartbeat is less than 3 s old.
    suspected : tuple of str
        VMs of the view whose last heartbeat is at least 1 s old.
    roster : tuple of str
        VMs of the failure domain that may still send to targets. A lease
        needs the grants of all of them.
    cold_targets_allowed : tuple of str
        Cold targets for which the VM holds a lease.
    messages_by_call, bytes_by_call : Mapping
        Number and bytes of the messages with peers and operators since the
        start, by gRPC call.
    alarms : tuple of str
        Texts that tell an operator what is wrong and what to do.
    """

    vm: str
    failure_domain: str
    ready: bool
    generation: int
    configuration_digest: str = ''
    highest_generation: int
    configuration_source: str
    withdrawn: tuple[str, ...] = ()
    draining: tuple[str, ...] = ()
    view: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()
    roster: tuple[str, ...] = ()
    cold_targets_allowed: tuple[str, ...] = ()
    messages_by_call: Mapping[str, int] = field(default_factory=dict)
    bytes_by_call: Mapping[str, int] = field(default_factory=dict)
    alarms: tuple[str, ...] = ()


_adapter = TypeAdapter(EntryStatus)


def encode_status(status: EntryStatus) -> bytes:
    """Return the status as a JSON document."""
    return _adapter.dump_json(status)


def decode_status(document: bytes) -> EntryStatus:
    """Return the status of a JSON document.

    Raises
    ------
    pydantic.ValidationError
        The document does not match the model.
    """
    return _adapter.validate_json(document)
