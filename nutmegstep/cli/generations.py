"""Asks entry VMs for what may be newer than the stored values.

The platform can be restored to an older state. Nodes keep what is higher,
so a write has to exceed what they have.
"""

import asyncio
import functools
from collections.abc import Iterable, Sequence
from itertools import groupby
from operator import attrgetter
from typing import Final

from returns.pipeline import is_successful

from nutmegstep.cli.operators import OperatorInterface
from nutmegstep.declarations import ControlDocument, merge_control
from nutmegstep.platform_api import ObjectClient, VmRecord

__all__ = ['VMS_PER_DOMAIN', 'highest_generation', 'known_control']

# Entry VMs exchange generations, so a few of each failure domain know the
# highest one of their side of a partition.
VMS_PER_DOMAIN: Final = 3


async def highest_generation(
    client: ObjectClient,
    interface: OperatorInterface,
    addresses: Sequence[str],
) -> int | None:
    """Return the highest generation of the entry VMs that answer.

    Parameters
    ----------
    client : ObjectClient
        Gives the list of VMs when no addresses are known.
    interface : OperatorInterface
        Calls entry VMs.
    addresses : sequence of str
        Operator interfaces; empty to use the platform's list.

    Returns
    -------
    int or None
        The generation; None when no VM answers.
    """
    asked = addresses or await _listed_addresses(client)
    answers = await asyncio.gather(*map(interface.read_status, asked))
    known = [
        max(answer.unwrap().generation, answer.unwrap().highest_generation)
        for answer in answers
        if is_successful(answer)
    ]
    return max(known, default=None)


async def known_control(
    client: ObjectClient,
    interface: OperatorInterface,
    addresses: Sequence[str],
) -> ControlDocument:
    """Return the merged registers of the entry VMs that answer."""
    asked = addresses or await _listed_addresses(client)
    answers = await asyncio.gather(*map(interface.read_control, asked))
    known = [answer.unwrap() for answer in answers if is_successful(answer)]
    return functools.reduce(merge_control, known, ControlDocument())


async def _listed_addresses(client: ObjectClient) -> Sequence[str]:
    listed = await client.vms()
    return _sample_addresses(listed.unwrap()) if is_successful(listed) else ()


def _sample_addresses(vms: Iterable[VmRecord]) -> list[str]:
    domain_of = attrgetter('failure_domain')
    return [
        vm.address
        for _, members in groupby(sorted(vms, key=domain_of), domain_of)
        for vm in list(members)[:VMS_PER_DOMAIN]
    ]
