"""Lists the differences between two configurations."""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields

from nutmegstep.model import Fleet, Service, Target

__all__ = ['Change', 'ChangeKind', 'FieldChange', 'diff_fleets']


@enum.unique
class ChangeKind(enum.Enum):
    """Kind of a difference between two configurations."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A changed field with its old and new value as text."""

    field: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class Change:
    """A declaration that differs between two configurations.

    Parameters
    ----------
    kind : ChangeKind
        Whether it was added, removed or changed.
    subject : str
        ``domain``, ``service``, ``target`` or ``fleet``.
    name : str
        Name of the failure domain, service, target or fleet field.
    changed_fields : tuple of FieldChange
        Changed fields; empty unless `kind` is `CHANGED`.
    """

    kind: ChangeKind
    subject: str
    name: str
    changed_fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        """Return a description in one line."""
        details = [
            f'{changed.field} {changed.before} -> {changed.after}'
            for changed in self.changed_fields
        ]
        line = f'{self.kind.value} {self.subject} {self.name}'
        return f'{line}: {", ".join(details)}' if details else line


def diff_fleets(before: Fleet, after: Fleet) -> tuple[Change, ...]:
    """Return the changes from one configuration to another.

    Notes
    -----
    Generations are not compared because each publication has a new one.

    Examples
    --------
    >>> old = Fleet(1, {}, {}, 2, {'domain-1': 1})
    >>> [str(change) for change in diff_fleets(old, Fleet(2, {}, {}, 3, {}))]
    ['changed fleet entry_vms_max: value 2 -> 3', 'removed domain domain-1']
    """
    return (
        *_diff_vms_max(before, after),
        *_diff_named(
            'domain',
            before.entry_vms_by_domain,
            after.entry_vms_by_domain,
        ),
        *_diff_named(
            'service',
            before.services_by_name,
            after.services_by_name,
        ),
        *_diff_named('target', before.targets_by_name, after.targets_by_name),
    )


def _diff_vms_max(before: Fleet, after: Fleet) -> Iterable[Change]:
    changed = _diff_fields(before.entry_vms_max, after.entry_vms_max)
    if changed:
        yield Change(ChangeKind.CHANGED, 'fleet', 'entry_vms_max', changed)


def _diff_named(
    subject: str,
    before: Mapping[str, Service | Target | int],
    after: Mapping[str, Service | Target | int],
) -> Iterable[Change]:
    for name in sorted({*before, *after}):
        if name not in before:
            yield Change(ChangeKind.ADDED, subject, name)
        elif name not in after:
            yield Change(ChangeKind.REMOVED, subject, name)
        elif before[name] != after[name]:
            changed = _diff_fields(before[name], after[name])
            yield Change(ChangeKind.CHANGED, subject, name, changed)


def _diff_fields(
    before: Service | Target | int,
    after: Service | Target | int,
) -> tuple[FieldChange, ...]:
    if isinstance(before, int):
        pairs = [('value', before, after)]
    else:
        pairs = [
            (
                known.name,
                getattr(before, known.name),
                getattr(after, known.name),
            )
            for known in fields(before)
        ]
    return tuple(
        FieldChange(name, _format_value(old), _format_value(new))
        for name, old, new in pairs
        if old != new
    )


def _format_value(found: object) -> str:
    if isinstance(found, enum.Enum):
        return str(found.value)
    if isinstance(found, tuple):
        return '+'.join(map(str, found))
    return str(found)
