"""Decodes the answers of the operators' object store."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from returns.result import Failure, Result, Success

from nutmegstep.platform_api.records import (
    PlatformFailure,
    PlatformFailureKind,
)
from nutmegstep.settings.fields import read_address
from nutmegstep.store_watch import ObjectChange, ObjectChanges
from nutmegstep.store_watch.revisions import compose_revision, era_of
from nutmegstep.store_watch.vm_registry import DEFAULT_CAPACITY, VmEntry

__all__ = [
    'Page',
    'append_page',
    'last_name',
    'name_of',
    'read_changes',
    'read_page',
    'read_vm_entry',
]

_Object = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Page:
    """Objects on one page of a listing, or on several pages joined."""

    listed_objects: tuple[_Object, ...]
    has_more: bool
    revision: int


def append_page(
    next_page: Result[Page, PlatformFailure],
    first: Page,
) -> Result[Page, PlatformFailure]:
    """Return both pages joined, or a failure.

    It fails if the next page does, or if the store was restored from a copy
    between the two pages.
    """
    return next_page.bind(partial(_join, first))


def _join(first: Page, page: Page) -> Result[Page, PlatformFailure]:
    if era_of(page.revision) != era_of(first.revision):
        detail = 'store restored between two pages of a listing'
        return Failure(PlatformFailure(PlatformFailureKind.UNAVAILABLE, detail))
    joined = replace(
        first,
        listed_objects=(*first.listed_objects, *page.listed_objects),
        has_more=page.has_more,
    )
    return Success(joined)


def last_name(page: Page) -> str:
    """Return the name after which the next page begins; empty without one."""
    return (
        name_of(page.listed_objects[-1])
        if page.has_more and page.listed_objects
        else ''
    )


def read_page(document: Any, era: int) -> Page:
    """Decode a page of a listing; leave objects without a name out.

    Parameters
    ----------
    document : Any
        Decoded JSON value.
    era : int
        Era of the store that sent it.

    Raises
    ------
    KeyError, TypeError or ValueError
        The document does not have the form of a page.
    """
    return Page(
        tuple(one for one in document['items'] if _has_name(one)),
        bool(document['more']),
        compose_revision(era, int(document['at'])),
    )


def _spec_of(one: _Object) -> object:
    return one.get('spec')


def read_changes(
    document: Any,
    era: int,
    read_object: Callable[[_Object], object] = _spec_of,
) -> ObjectChanges:
    """Decode the answer of a watch; leave objects without a name out.

    Parameters
    ----------
    document : Any
        Decoded JSON value.
    era : int
        Era of the store that sent it.
    read_object : Callable, optional
        Returns the document of an object; by default its specification.

    Raises
    ------
    KeyError, TypeError or ValueError
        The document does not have the form of such an answer.
    """
    events = [
        event for event in document['events'] if _has_name(event['object'])
    ]
    changes = (
        ObjectChange(
            name_of(event['object']),
            read_object(event['object']),
            bool(event['deleted']),
        )
        for event in events
    )
    return ObjectChanges(
        tuple(changes), compose_revision(era, int(document['at']))
    )


def read_vm_entry(one: _Object) -> VmEntry:
    """Decode the registry entry of a VM; unreadable fields get defaults."""
    spec = one.get('spec')
    fields = spec if isinstance(spec, dict) else {}
    revision = one['meta'].get('rev')
    return VmEntry(
        str(fields.get('failure_domain', '')),
        _read_peer_address(fields.get('address')),
        revision if isinstance(revision, int) else 0,
        _read_capacity(fields.get('capacity')),
    )


def _read_capacity(number: object) -> float:
    if isinstance(number, int | float) and 0 < number < math.inf:
        return float(number)
    return DEFAULT_CAPACITY


def _read_peer_address(text: object) -> str:
    # Other writers of the store may have written anything to an entry.
    try:
        read_address(str(text))
    except ValueError:
        return ''
    return str(text)


def _has_name(one: object) -> bool:
    if not isinstance(one, dict):
        return False
    meta = one.get('meta')
    return isinstance(meta, dict) and isinstance(meta.get('name'), str)


def name_of(one: _Object) -> str:
    """Return the name of an object."""
    meta = one['meta']
    return str(meta['name']) if isinstance(meta, dict) else ''
