"""Conversion between objects of the platform and the control state."""

from typing import Final

from xxhash import xxh3_128_hexdigest

from nutmegstep.control import (
    Catalogue,
    Configuration,
    ControlState,
    control_document,
    state_from_document,
)
from nutmegstep.declarations import (
    decode_control,
    decode_fleet,
    encode_control,
)
from nutmegstep.model import Fleet
from nutmegstep.node.ports import StoredObject

__all__ = [
    'CONFIG_NAME',
    'CONTROL_NAME',
    'decode_object',
    'encode_registers',
    'object_names',
]

CONFIG_NAME: Final = 'config/fleet'
CONTROL_NAME: Final = 'control/state'
_INDEX_PREFIX: Final = 'indexes/'


def object_names(fleet: Fleet) -> tuple[str, ...]:
    """Return the names of the platform objects that an entry VM watches.

    These are the configuration, the withdrawals and drains, and the catalogue
    of each index that a service of the configuration uses.
    """
    indexes = {service.index for service in fleet.services_by_name.values()}
    index_names = (f'{_INDEX_PREFIX}{index}' for index in sorted(indexes))
    return (CONFIG_NAME, CONTROL_NAME, *index_names)


def decode_object(stored: StoredObject) -> ControlState:
    """Return a control state with only the part that an object holds.

    Raises
    ------
    ValueError
        The document of the object is not valid.
    """
    if stored.name == CONTROL_NAME:
        return state_from_document(decode_control(stored.document))
    if stored.name == CONFIG_NAME:
        fleet = decode_fleet(stored.document)
        digest = xxh3_128_hexdigest(stored.document)
        return ControlState(
            Configuration(fleet.generation, digest, stored.document),
        )
    index = stored.name.removeprefix(_INDEX_PREFIX)
    catalogue = Catalogue(stored.version, stored.document)
    return ControlState(catalogues_by_index={index: catalogue})


def encode_registers(state: ControlState) -> bytes:
    """Return the withdrawals and drains as a document of `control/state`.

    Examples
    --------
    >>> encode_registers(ControlState())
    b'{"failure_domains_by_name":{},"targets_by_name":{}}'
    """
    return encode_control(control_document(state))
