"""Digests that tell two processes whether their control states differ."""

from collections.abc import Mapping

import orjson
from xxhash import xxh3_64_intdigest

from nutmegstep.control.core import ControlState
from nutmegstep.declarations import Register

__all__ = ['catalogues_digest', 'registers_digest']


def registers_digest(state: ControlState) -> int:
    """Return a 64-bit digest of withdrawals and drains."""
    listed = [
        _list_registers(state.withdrawals_by_domain),
        _list_registers(state.drains_by_target),
    ]
    return xxh3_64_intdigest(orjson.dumps(listed))


def catalogues_digest(state: ControlState) -> int:
    """Return a 64-bit digest of the catalogue versions.

    Examples
    --------
    >>> catalogues_digest(ControlState()) == catalogues_digest(ControlState())
    True
    """
    listed = [
        (index, catalogue.version)
        for index, catalogue in sorted(state.catalogues_by_index.items())
    ]
    return xxh3_64_intdigest(orjson.dumps(listed))


def _list_registers(
    registers_by_name: Mapping[str, Register],
) -> list[tuple[str, int, bool, str]]:
    return [
        (name, register.counter, register.withdrawn, register.changed_by)
        for name, register in sorted(registers_by_name.items())
    ]
