"""What an entry process reports about itself to operators."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from pydantic import TypeAdapter

__all__ = ['EntryStatus', 'decode_status', 'encode_status']


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryStatus:
    """What an entry VM reports about itself.

    Parameters
    ----------
    vm : str
        Name of the VM.
    failure_domain : str
        Its failure domain.
    ready : bool
        Whether the load balancer sends it callers.
    generation : int
        Generation in force on the VM; 0 means none.
    configuration_digest : str
        Digest of the published value in force.
    highest_generation : int
        Highest generation that it has heard of from the platform or any VM.
    configuration_source : str
        ``platform``, ``peers`` or ``none``.
    withdrawn : tuple of str
        Withdrawn failure domains.
    draining : tuple of str
        Draining targets.
    view : tuple of str
        VMs heard within 3 s, the own one included.
    suspected : tuple of str
        VMs of the view that were silent for 1 s.
    roster : tuple of str
        VMs of the own failure domain that may still act.
    cold_targets_allowed : tuple of str
        Cold targets to which the VM may send now.
    messages_by_call, bytes_by_call : Mapping
        Traffic with peers and operators since the start.
    alarms : tuple of str
        Sentences for an operator, each with what to do.
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
    """Return the JSON form."""
    return _adapter.dump_json(status)


def decode_status(document: bytes) -> EntryStatus:
    """Return the status of a JSON document.

    Raises
    ------
    pydantic.ValidationError
        The document does not match the model.
    """
    return _adapter.validate_json(document)
