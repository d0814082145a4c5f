"""States of the VMs of a fleet, for tests of what they do together."""

import heapq
from collections.abc import Callable, Mapping
from itertools import count
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


class Timeline:
    """Simulated time, and the steps that are due later."""

    def __init__(self, now: float) -> None:
        self.now = now
        self._steps: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count(1)

    def later(self, seconds: float, step: Callable[[], None]) -> None:
        """Call `step` after some time."""
        due_at = self.now + seconds
        heapq.heappush(self._steps, (due_at, next(self._numbers), step))

    def run_until(self, instant: float) -> None:
        """Advance the time and call the steps that become due."""
        while self._steps and self._steps[0][0] <= instant:
            due_at, _, step = heapq.heappop(self._steps)
            self.now = due_at
            step()
        self.now = instant


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
