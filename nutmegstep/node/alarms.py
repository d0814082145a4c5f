"""Alarms: texts that tell an operator what is wrong and what to do."""

from collections.abc import Iterator
from typing import Final

from nutmegstep.membership import Health, member_health, roster
from nutmegstep.node.reported import conflicts
from nutmegstep.node.state import NodeState

__all__ = ['alarms']

# Relays read the VM list every 5 s. One slow call must not raise the alarm, so
# it takes three missed reads.
_PLATFORM_ALARM_SECONDS: Final = 15
_INDEX_OBJECT: Final = 'indexes/{0}'


def alarms(state: NodeState, now: float) -> tuple[str, ...]:
    """Return the alarms of this VM, the most urgent first.

    Parameters
    ----------
    state : NodeState
        Not changed.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of str
        Texts for the operator. `docs/OPERATIONS.md` describes for each text
        what to do.
    """
    return (
        *_configuration_alarms(state),
        *_catalogue_alarms(state),
        *_platform_alarms(state, now),
        *_roster_alarms(state, now),
    )


def _configuration_alarms(state: NodeState) -> Iterator[str]:
    in_force = state.control.configuration
    if in_force.generation == 0:
        yield (
            'no configuration is in force, so every request is refused; '
            'run nutmegstep publish, or wait for the platform'
        )
    for source, reported in conflicts(state).items():
        yield (
            f'configuration conflict: {source} has generation '
            f'{reported.generation} with digest {reported.digest}, in force is '
            f'digest {in_force.digest}; '
            f'run nutmegstep publish --above {reported.generation}'
        )
    stored = state.platform_generation
    if stored is not None and stored < in_force.generation:
        yield (
            f'the platform has generation {stored}, older than '
            f'{in_force.generation} in force; run nutmegstep publish'
        )


def _catalogue_alarms(state: NodeState) -> Iterator[str]:
    services = state.fleet.services_by_name.values()
    for index in sorted({service.index for service in services}):
        if index not in state.control.catalogues_by_index:
            yield (
                f'the catalogue of index {index} is missing, so its services '
                'refuse every request; let the index pipeline write '
                f'{_INDEX_OBJECT.format(index)}'
            )


def _platform_alarms(state: NodeState, now: float) -> Iterator[str]:
    # Only relays read the VM list, but heartbeats carry its age to all VMs, so
    # every VM knows when the platform last answered a relay.
    last_read = max(state.membership.listed_at, state.membership.started)
    elapsed = now - last_read
    if elapsed >= _PLATFORM_ALARM_SECONDS:
        yield (
            f'the platform is away since {round(elapsed)} s: no VM list was '
            'read; one-shot requests are refused, withdraw and drain work '
            'through --entry'
        )


def _roster_alarms(state: NodeState, now: float) -> Iterator[str]:
    domain = state.membership.failure_domain
    names = roster(state.membership, domain, now)
    members = state.membership.members_by_name
    for name in sorted(names & members.keys()):
        if member_health(members[name], now) is Health.DOWN:
            yield (
                f'{name} is on the roster of {domain} and silent for '
                f'{_silence(state, name, now)}, which blocks its cold '
                'targets; if the VM is certainly stopped run nutmegstep '
                f'forget {name}'
            )
    required = state.fleet.entry_vms_by_domain.get(domain, 0)
    if len(names) < required:
        yield (
            f'the roster of {domain} has {len(names)} of {required} declared '
            'entry VMs, which blocks its cold targets; start the missing '
            'VMs or publish a lower entry_vms_per_domain'
        )


def _silence(state: NodeState, name: str, now: float) -> str:
    last_heartbeat = state.membership.members_by_name[name].last_heartbeat
    if last_heartbeat < state.membership.started:
        return f'{round(now - state.membership.started)} s since the start'
    return f'{round(now - last_heartbeat)} s'
