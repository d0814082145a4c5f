"""Finds out whether entry VMs have newer values than the platform.

The platform can be restored to an older state. Entry VMs keep the highest
generation and register counters that they have seen and ignore lower ones,
so a command has to write higher ones than any of them has.
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

# Number of entry VMs to call in each failure domain. Entry VMs exchange
# generations, so a few of them know the highest one among all VMs that they
# can reach.
VMS_PER_DOMAIN: Final = 3


async def highest_generation(
    client: ObjectClient,
    interface: OperatorInterface,
    addresses: Sequence[str],
) -> int | None:
    """Return the highest generation that entry VMs report.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform, whose list of VMs is used if `addresses` is
        empty.
    interface : OperatorInterface
        Interface to the entry VMs.
    addresses : sequence of str
        Addresses of entry VMs to call, ``HOST:PORT``; may be empty.

    Returns
    -------
    int or None
        The generation; None if no VM replies.
    """
    vm_addresses = addresses or await _listed_addresses(client)
    replies = await asyncio.gather(*map(interface.read_status, vm_addresses))
    known = [
        max(reply.unwrap().generation, reply.unwrap().highest_generation)
        for reply in replies
        if is_successful(reply)
    ]
    return max(known, default=None)


async def known_control(
    client: ObjectClient,
    interface: OperatorInterface,
    addresses: Sequence[str],
) -> ControlDocument:
    """Return the merged registers of the entry VMs that reply.

    See `highest_generation` for the parameters.
    """
    vm_addresses = addresses or await _listed_addresses(client)
    replies = await asyncio.gather(*map(interface.read_control, vm_addresses))
    known = [reply.unwrap() for reply in replies if is_successful(reply)]
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
