"""Compares the sum of the shares of all VMs at a target with its limit.

``python -m nutmegstep.measure.capacity_shares`` runs a rolling replacement
of all VMs, a partition and a paused VM that resumes, for several seeds, and
prints the largest sums of connections and of VMs that send to a cold target.
"""

import argparse
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from types import MappingProxyType
from typing import Final

from nutmegstep.measure.capacity_vms import (
    Domain,
    Rules,
    kill,
    pause,
    run_until,
    start_vm,
)

__all__ = [
    'SCENARIOS_BY_NAME',
    'Sums',
    'connection_share',
    'main',
    'measure_sums',
]

_TARGETS: Final = tuple(f'target-{number}' for number in range(4))
_START_SECONDS: Final = 20
_QUIET_SECONDS: Final = 30
_REPLACE_SECONDS: Final = 20
_CUT_SECONDS: Final = 30
_PAUSE_SECONDS: Final = 8
# Connections per server of section 1.3 of the design page.
_CONNECTIONS: Final = (25, 30, 35, 100)
_VMS_PER_DOMAIN: Final = (2, 3, 8)


@dataclass(frozen=True, slots=True)
class Sums:
    """Extreme values of a scenario over all seeds.

    Parameters
    ----------
    peak_senders : int
        Maximum number of VMs with requests to the same cold target in flight;
        the limit is 1.
    loaded_share : float
        Minimum share of the time in which some VM could send to a cold target.
    peak_holders : int
        Maximum number of VMs, lost ones included, whose connections are open
        at a target that does not notice their loss.
    """

    peak_senders: int
    loaded_share: float
    peak_holders: int


def measure_sums(scenario: str, vms: int, seeds: int) -> Sums:
    """Run a scenario for several seeds.

    Parameters
    ----------
    scenario : str
        Key of `SCENARIOS_BY_NAME`.
    vms : int
        Number of VMs of the failure domain.
    seeds : int
        Number of runs, with seeds from 0.
    """
    domains = [_run(scenario, vms, seed) for seed in range(seeds)]
    return Sums(
        max(domain.peak_senders for domain in domains),
        min(domain.loaded_steps / domain.steps for domain in domains),
        max(domain.peak_holders for domain in domains),
    )


def connection_share(connections: int, entry_vms_max: int) -> int:
    """Return the maximum number of connections of one VM to one target.

    Half of the connections of the target stay free for those of lost VMs.

    Examples
    --------
    >>> connection_share(30, 7), connection_share(100, 4600)
    (2, 1)
    """
    return max(1, connections // (2 * entry_vms_max))


def main() -> None:
    """Parse the arguments and print both tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--entry-vms-max', type=int, default=7)
    options = parser.parse_args()
    for scenario in SCENARIOS_BY_NAME:
        _print_connections(scenario, options.entry_vms_max)
    for vms in _VMS_PER_DOMAIN:
        for name in SCENARIOS_BY_NAME:
            _print_cold_load(name, vms, options.seeds)


def _print_connections(scenario: str, entry_vms_max: int) -> None:
    holders = measure_sums(scenario, entry_vms_max, 1).peak_holders
    for connections in _CONNECTIONS:
        total = holders * connection_share(connections, entry_vms_max)
        print(
            f'{entry_vms_max} VMs, {scenario}: {total} connections, '
            f'limit {connections}',
            flush=True,
        )


def _print_cold_load(scenario: str, vms: int, seeds: int) -> None:
    sums = measure_sums(scenario, vms, seeds)
    print(
        f'{vms} VMs, {scenario}: {sums.peak_senders} senders to one cold '
        f'target, limit 1; some VM could send for at least '
        f'{sums.loaded_share:.0%} of the time',
        flush=True,
    )


def _run(scenario: str, vms: int, seed: int) -> Domain:
    random = Random(f'{scenario} {seed}')
    domain = Domain(Rules(vms, _TARGETS), random)
    for _ in range(vms):
        start_vm(domain)
    _run_for(domain, _START_SECONDS)
    SCENARIOS_BY_NAME[scenario](domain)
    _run_for(domain, _QUIET_SECONDS)
    return domain


def _run_for(domain: Domain, seconds: float) -> None:
    run_until(domain, domain.clock.monotonic() + seconds)


def _replace_all(domain: Domain) -> None:
    for name in tuple(domain.vms_by_name):
        kill(domain, name)
        start_vm(domain)
        _run_for(domain, _REPLACE_SECONDS)


def _replace_all_twice(domain: Domain) -> None:
    _replace_all(domain)
    _replace_all(domain)


def _partition(domain: Domain) -> None:
    names = sorted(domain.vms_by_name)
    side = frozenset(names[: len(names) // 2])
    domain.is_cut = lambda one, other: (one in side) != (other in side)
    # VMs on both sides open new connections to targets in place of those that the
    # partition has cut.
    domain.lost_holders += len(names)
    _run_for(domain, _CUT_SECONDS)
    domain.is_cut = lambda one, other: False


def _pause_holders(domain: Domain) -> None:
    for name in tuple(domain.vms_by_name):
        pause(domain, name, _PAUSE_SECONDS)
        _run_for(domain, _PAUSE_SECONDS * 2)


def _pause_and_replace(domain: Domain) -> None:
    # The platform considers the paused VM lost and starts a replacement.
    for name in tuple(domain.vms_by_name):
        pause(domain, name, _QUIET_SECONDS)
        start_vm(domain)
        _run_for(domain, _QUIET_SECONDS + _PAUSE_SECONDS)
        kill(domain, name)


#: Scenarios by name; each one changes the VMs of a failure domain.
SCENARIOS_BY_NAME: Final = MappingProxyType[str, Callable[[Domain], None]](
    {
        'rolling replacement': _replace_all,
        'two rolling replacements': _replace_all_twice,
        'partition': _partition,
        'pause and return': _pause_holders,
        'pause, replacement and return': _pause_and_replace,
    },
)


if __name__ == '__main__':
    main()
