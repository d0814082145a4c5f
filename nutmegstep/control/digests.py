"""Digests by which VMs detect that their control states differ."""

from collections.abc import Mapping

import orjson
from xxhash import xxh3_64_intdigest

from nutmegstep.control.core import ControlState
from nutmegstep.declarations import Register

__all__ = ['catalogues_digest', 'registers_digest']


def registers_digest(state: ControlState) -> int:
    """Return a 64-bit digest of the withdrawals and drains."""
    rows = [
        _register_rows(state.withdrawals_by_domain),
        _register_rows(state.drains_by_target),
    ]
    return xxh3_64_intdigest(orjson.dumps(rows))


def catalogues_digest(state: ControlState) -> int:
    """Return a 64-bit digest of the catalogue versions.

    Examples
    --------
    >>> catalogues_digest(ControlState()) == catalogues_digest(ControlState())
    True
    """
    rows = [
        (index, catalogue.version)
        for index, catalogue in sorted(state.catalogues_by_index.items())
    ]
    return xxh3_64_intdigest(orjson.dumps(rows))


def _register_rows(
    registers_by_name: Mapping[str, Register],
) -> list[tuple[str, int, bool, str]]:
    return [
        (name, register.counter, register.withdrawn, register.changed_by)
        for name, register in sorted(registers_by_name.items())
    ]
