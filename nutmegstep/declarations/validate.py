"""Checks that span all declaration files."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final

from nutmegstep.declarations.files import FleetSection, TargetSection
from nutmegstep.declarations.parse import ParsedFile
from nutmegstep.declarations.problems import Problem

__all__ = ['CONNECTIONS_PER_ENTRY_VM', 'check_across_files']

# Twice as many connections as entry VMs are required: after a crash of all
# entry VMs, a target may still hold their connections as half-open ones while
# the restarted VMs connect.
CONNECTIONS_PER_ENTRY_VM: Final = 2
_TARGETS: Final = 'targets'


def check_across_files(files: Sequence[ParsedFile]) -> tuple[Problem, ...]:
    """Return the problems that only all files together reveal."""
    problems = [
        *_check_fleet_sections(files),
        *_check_names(files),
        *_check_addresses(files),
        *_check_groups(files),
    ]
    sections = [file.content.fleet for file in files if file.content.fleet]
    for file in files:
        for name, target in file.content.targets.items():
            problems.extend(_check_target(file, name, target, sections[:1]))
    return tuple(problems)


def _check_fleet_sections(files: Sequence[ParsedFile]) -> Iterable[Problem]:
    declared = [file for file in files if file.content.fleet]
    if not declared:
        yield Problem(None, None, 'fleet', 'no file has a [fleet] table')
    for extra in declared[1:]:
        text = f'[fleet] is already declared in {declared[0].path}'
        yield extra.problem(('fleet',), text)
    if not any(file.content.services for file in files):
        yield Problem(None, None, 'services', 'no service is declared')
    for file in declared[:1]:
        section = file.content.fleet
        if section is not None:
            yield from _check_entry_vms(file, section)


def _check_entry_vms(
    file: ParsedFile,
    section: FleetSection,
) -> Iterable[Problem]:
    total = sum(section.entry_vms_per_domain.values())
    if total > section.entry_vms_max:
        text = (
            f'{section.entry_vms_max} is below the sum of '
            f'entry_vms_per_domain, {total}'
        )
        yield file.problem(('fleet', 'entry_vms_max'), text)


def _check_names(files: Sequence[ParsedFile]) -> Iterable[Problem]:
    first_by_name: dict[tuple[str, str], ParsedFile] = {}
    for file in files:
        names = [
            *(('services', name) for name in file.content.services),
            *((_TARGETS, name) for name in file.content.targets),
        ]
        for name in names:
            first = first_by_name.setdefault(name, file)
            if first is not file:
                text = f'name is already declared in {first.path}'
                yield file.problem(name, text)


def _check_addresses(files: Sequence[ParsedFile]) -> Iterable[Problem]:
    name_by_address: dict[str, str] = {}
    for file in files:
        for name, target in file.content.targets.items():
            first = name_by_address.setdefault(target.address, name)
            if first != name:
                text = f'{target.address} already belongs to {first}'
                yield file.problem((_TARGETS, name, 'address'), text)


def _check_groups(files: Sequence[ParsedFile]) -> Iterable[Problem]:
    for file in files:
        for name, service in file.content.services.items():
            for group, times in Counter(service.groups).items():
                if times > 1:
                    location = ('services', name, 'groups')
                    yield file.problem(location, f'{group} is listed twice')


def _check_target(
    file: ParsedFile,
    name: str,
    target: TargetSection,
    sections: Sequence[FleetSection],
) -> Iterable[Problem]:
    if target.cold_slots > target.slots:
        text = f'{target.cold_slots} is above slots, {target.slots}'
        yield file.problem((_TARGETS, name, 'cold_slots'), text)
    for section in sections:
        domains = section.entry_vms_per_domain
        if target.failure_domain not in domains:
            text = (
                f'{target.failure_domain} is unknown; allowed are '
                f'{", ".join(sorted(domains))}'
            )
            yield file.problem((_TARGETS, name, 'failure_domain'), text)
        least = CONNECTIONS_PER_ENTRY_VM * section.entry_vms_max
        if target.connections < least:
            text = (
                f'{target.connections} is below {least}, '
                'twice the entry_vms_max of the fleet'
            )
            yield file.problem((_TARGETS, name, 'connections'), text)
