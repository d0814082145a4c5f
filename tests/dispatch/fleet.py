"""States of the VMs of a fleet, for tests of what they do together."""

from collections.abc import Mapping
from random import Random
from typing import Final

from nutmegstep.coordinators import choose_coordinators
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch import DispatchState, reduce_event
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    TargetsListed,
    VmsCounted,
)
from nutmegstep.store_watch.vm_registry import VmEntry
from tests.dispatch.conftest import LIMITS, configuration

_DOMAINS: Final = ('north', 'south', 'west')


def entries_of_vms(count: int) -> dict[str, VmEntry]:
    """Return the registry entries of VMs in three failure domains."""
    return {
        f'vm-{number:03}': VmEntry(
            _DOMAINS[number % len(_DOMAINS)], f'10.0.0.{number}:7740', 1
        )
        for number in range(count)
    }


def start_vm(
    name: str,
    entries: Mapping[str, VmEntry],
    targets: Mapping[str, TargetRecord],
    now: float,
) -> DispatchState:
    """Return the state of a VM that has read the store."""
    domain = entries[name].failure_domain
    state = DispatchState(domain, LIMITS, Random(name))
    in_domain = sum(one.failure_domain == domain for one in entries.values())
    choice = choose_coordinators(name, entries)
    for event in (
        VmsCounted(len(entries), in_domain, choice),
        ConfigurationChanged(configuration()),
        TargetsListed(targets),
    ):
        reduce_event(state, event, now)
    return state
