"""Client of the operators' object store."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial
from typing import Any, Final, TypeVar
from urllib.parse import quote, urlencode

import orjson
from prometheus_client import Counter
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from nutmegstep.platform_api.connection import HttpCall, HttpReply
from nutmegstep.platform_api.records import (
    PlatformFailure,
    PlatformFailureKind,
)
from nutmegstep.platform_api.transport import HttpTransport
from nutmegstep.settings.fields import read_address
from nutmegstep.store_watch import (
    HistoryGone,
    Listing,
    ObjectChange,
    ObjectChanges,
)
from nutmegstep.store_watch.vm_registry import DEFAULT_CAPACITY, VmEntry

__all__ = ['KIND_VMS', 'ObjectStore']

KIND_VMS: Final = 'nutmegstep-vms'
"""Kind of the entries by which VMs find and count each other."""

_MILLISECOND: Final = timedelta(milliseconds=1)
_NO_WAIT: Final = timedelta(0)
_STATUS_OK: Final = 200
_STATUS_MULTIPLE_CHOICES: Final = 300
_STATUS_NOT_FOUND: Final = 404
_STATUS_CONFLICT: Final = 409
_STATUS_GONE: Final = 410
_EXPECTED_ERROR_STATUSES: Final = frozenset(
    (_STATUS_NOT_FOUND, _STATUS_CONFLICT, _STATUS_GONE)
)
_JSON: Final = (('Content-Type', 'application/json'),)

_Object = Mapping[str, Any]
_Decoded = TypeVar('_Decoded')


@dataclass(frozen=True, slots=True)
class _Page:
    """Objects on one page of a listing, or on several pages joined."""

    listed_objects: tuple[_Object, ...]
    has_more: bool
    revision: int


class ObjectStore:
    """Reads and writes objects, which have a kind and a name.

    Parameters
    ----------
    transport : HttpTransport
        HTTP client of the store.
    counter : prometheus_client.Counter
        Counts calls by operation and outcome.
    """

    def __init__(self, transport: HttpTransport, counter: Counter) -> None:
        self._transport = transport
        self._counter = counter
        self._has_entry = False

    async def list_kind(self, kind: str) -> Result[Listing, PlatformFailure]:
        """Return all objects of a kind, at the revision of the first page."""
        listed = await self._list_pages(kind, {})
        return listed.map(
            lambda page: Listing(
                {_name_of(one): one.get('spec') for one in page.listed_objects},
                page.revision,
            ),
        )

    async def watch_kind(
        self,
        kind: str,
        revision: int,
        wait: timedelta,
    ) -> Result[ObjectChanges | HistoryGone, PlatformFailure]:
        """Return the changes after a revision; wait until there are any.

        Parameters
        ----------
        kind : str
            Kind of objects.
        revision : int
            Revision of the last listing or watch.
        wait : datetime.timedelta
            Longest wait; after it no changes are returned.
        """
        query = {'watch': revision, 'wait_ms': wait // _MILLISECOND}
        called = await self._call(
            'watch',
            HttpCall('GET', _path(kind, query)),
            poll=wait,
        )
        if not is_successful(called):
            return Failure(called.failure())
        reply = called.unwrap()
        if reply.status == _STATUS_GONE:
            return Success(HistoryGone())
        return _decode(_read_changes, reply)

    async def list_vms(self) -> Result[dict[str, VmEntry], PlatformFailure]:
        """Return the registry entries of all VMs, possibly seconds stale."""
        listed = await self._list_pages(KIND_VMS, {'allow_stale': 1})
        return listed.map(
            lambda page: {
                _name_of(one): _read_vm_entry(one)
                for one in page.listed_objects
            },
        )

    async def put_vm(
        self,
        name: str,
        entry: VmEntry,
    ) -> Result[None, PlatformFailure]:
        """Create or renew the registry entry of a VM.

        `entry.revision` is written as part of the entry, so that each renewal
        differs from the previous one.
        """
        spec = {
            'failure_domain': entry.failure_domain,
            'address': entry.address,
            'renewal': entry.revision,
            'capacity': entry.capacity,
        }
        body = orjson.dumps({'meta': {'name': name}, 'spec': spec})
        path = _path(KIND_VMS, {})
        create = HttpCall('POST', path, body, _JSON)
        update = HttpCall('PUT', f'{path}/{quote(name)}', body, _JSON)
        # A process that starts usually has no entry, and then needs one call.
        writes = [('create', create), ('replace', update)]
        if self._has_entry:
            writes.reverse()
        called = await self._call(*writes[0], is_write=True)
        if _conflicts(called):
            called = await self._call(*writes[1], is_write=True)
        if _conflicts(called):
            detail = f'entry of {name} created or deleted between two writes'
            return Failure(
                PlatformFailure(PlatformFailureKind.UNAVAILABLE, detail),
            )
        self._has_entry = is_successful(called)
        return called.map(lambda _: None)

    async def delete_vm(self, name: str) -> Result[None, PlatformFailure]:
        """Delete the registry entry of a VM that no longer renews it."""
        path = _path(KIND_VMS, {})
        call = HttpCall('DELETE', f'{path}/{quote(name)}')
        called = await self._call('delete', call, is_write=True)
        return called.map(lambda _: None)

    def close(self) -> None:
        """Close idle connections."""
        self._transport.close()

    async def _list_pages(
        self,
        kind: str,
        query: Mapping[str, object],
    ) -> Result[_Page, PlatformFailure]:
        found = await self._list_page(kind, query)
        last_name = found.map(_last_name).value_or('')
        while last_name:
            next_page = await self._list_page(
                kind, {**query, 'after': last_name}
            )
            # The result keeps the revision of the first page. A watch from
            # there repeats the changes made while the others were read.
            found = found.bind(partial(_append_page, next_page))
            last_name = next_page.map(_last_name).value_or('')
        return found

    async def _list_page(
        self,
        kind: str,
        query: Mapping[str, object],
    ) -> Result[_Page, PlatformFailure]:
        called = await self._call('list', HttpCall('GET', _path(kind, query)))
        return called.bind(partial(_decode, _read_page))

    async def _call(
        self,
        operation: str,
        http: HttpCall,
        *,
        is_write: bool = False,
        poll: timedelta = _NO_WAIT,
    ) -> Result[HttpReply, PlatformFailure]:
        called = await self._transport.call(
            http,
            is_write=is_write,
            poll=poll,
        )
        checked = called.bind(lambda reply: _check_status(http, reply))
        outcome = 'ok'
        if not is_successful(checked):
            outcome = checked.failure().kind.value
        self._counter.labels(operation, outcome).inc()
        return checked


def _conflicts(called: Result[HttpReply, PlatformFailure]) -> bool:
    # 409: the object to create exists. 404: the one to replace does not.
    missed = (_STATUS_CONFLICT, _STATUS_NOT_FOUND)
    return is_successful(called) and called.unwrap().status in missed


def _check_status(
    http: HttpCall,
    reply: HttpReply,
) -> Result[HttpReply, PlatformFailure]:
    # 404, 409 and 410 are results that the calling method handles.
    if _STATUS_OK <= reply.status < _STATUS_MULTIPLE_CHOICES:
        return Success(reply)
    if reply.status in _EXPECTED_ERROR_STATUSES:
        return Success(reply)
    detail = f'{http.method} {http.path}: status {reply.status}'
    return Failure(PlatformFailure(PlatformFailureKind.UNAVAILABLE, detail))


def _decode(
    read: Callable[[Any], _Decoded],
    reply: HttpReply,
) -> Result[_Decoded, PlatformFailure]:
    try:
        return Success(read(orjson.loads(reply.body)))
    except (KeyError, TypeError, ValueError) as error:
        detail = f'malformed reply: {error!r}'
        return Failure(
            PlatformFailure(PlatformFailureKind.INVALID_REPLY, detail),
        )


def _append_page(
    next_page: Result[_Page, PlatformFailure],
    first: _Page,
) -> Result[_Page, PlatformFailure]:
    return next_page.map(
        lambda page: replace(
            first,
            listed_objects=(*first.listed_objects, *page.listed_objects),
            has_more=page.has_more,
        ),
    )


def _last_name(page: _Page) -> str:
    return (
        _name_of(page.listed_objects[-1])
        if page.has_more and page.listed_objects
        else ''
    )


def _read_page(document: Any) -> _Page:
    return _Page(
        tuple(one for one in document['items'] if _has_name(one)),
        bool(document['more']),
        int(document['at']),
    )


def _read_changes(document: Any) -> ObjectChanges:
    events = [
        event for event in document['events'] if _has_name(event['object'])
    ]
    changes = (
        ObjectChange(
            _name_of(event['object']),
            event['object'].get('spec'),
            bool(event['deleted']),
        )
        for event in events
    )
    return ObjectChanges(tuple(changes), int(document['at']))


def _read_vm_entry(one: _Object) -> VmEntry:
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


def _name_of(one: _Object) -> str:
    meta = one['meta']
    return str(meta['name']) if isinstance(meta, dict) else ''


def _path(kind: str, query: Mapping[str, object]) -> str:
    suffix = f'?{urlencode(query)}' if query else ''
    return f'/v1/objects/{kind}{suffix}'
