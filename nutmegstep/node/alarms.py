"""Sentences that tell an operator what is wrong and what to do."""

from collections.abc import Iterator
from typing import Final

from nutmegstep.membership import Health, member_health, roster
from nutmegstep.node.heard import conflicts
from nutmegstep.node.state import NodeState

__all__ = ['alarms']

# Relays read the VM list every 5 s; three missed reads are not a slow call.
_PLATFORM_AWAY_SECONDS: Final = 15
_INDEX_OBJECT: Final = 'indexes/{0}'


def alarms(state: NodeState, now: float) -> tuple[str, ...]:
    """Return the alarms of a process, the most urgent first.

    Notes
    -----
    `docs/OPERATIONS.md` lists each text with what to do.
    """
    return (
        *_configuration_alarms(state),
        *_catalogue_alarms(state),
        *_platform_alarms(state, now),
        *_roster_alarms(state, now),
    )


def _configuration_alarms(state: NodeState) -> Iterator[str]:
    ours = state.control.configuration
    if ours.generation == 0:
        yield (
            'no configuration is in force, so every request is refused; '
            'run nutmegstep publish, or wait for the platform'
        )
    for source, heard in conflicts(state).items():
        yield (
            f'configuration conflict: {source} has generation '
            f'{heard.generation} with digest {heard.digest}, in force is '
            f'digest {ours.digest}; '
            f'run nutmegstep publish --above {heard.generation}'
        )
    stored = state.platform_generation
    if stored is not None and stored < ours.generation:
        yield (
            f'the platform has generation {stored}, older than '
            f'{ours.generation} in force; run nutmegstep publish'
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
    # The age of the VM list goes from relays to all other VMs with the
    # heartbeats, so it tells on each VM when the platform last answered.
    heard = max(state.membership.listed_at, state.membership.started)
    away = now - heard
    if away >= _PLATFORM_AWAY_SECONDS:
        yield (
            f'the platform is away since {round(away)} s: no VM list was read; '
            'one-shot requests are refused, withdraw and drain work through '
            '--entry'
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
    heard = state.membership.members_by_name[name].last_heartbeat
    if heard < state.membership.started:
        return f'{round(now - state.membership.started)} s since the start'
    return f'{round(now - heard)} s'
