"""Client of the operators' object store."""

import logging
from collections.abc import Mapping
from datetime import timedelta
from functools import partial
from typing import Any, Final
from urllib.parse import quote, urlencode

import orjson
from prometheus_client import Counter
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from nutmegstep.platform.lenient_json import decode_leniently
from nutmegstep.platform.store_documents import (
    Page,
    append_page,
    last_name,
    name_of,
    read_changes,
    read_page,
    read_vm_entry,
)
from nutmegstep.platform.store_replies import (
    check_status,
    decode_reply,
    era_of_reply,
    is_success,
)
from nutmegstep.platform_api.connection import HttpCall, HttpReply
from nutmegstep.platform_api.records import (
    PlatformFailure,
    PlatformFailureKind,
)
from nutmegstep.platform_api.transport import HttpTransport
from nutmegstep.store_watch import (
    HistoryGone,
    Listing,
    ObjectChanges,
    StatusWrite,
)
from nutmegstep.store_watch.revisions import era_of, number_of
from nutmegstep.store_watch.vm_registry import VmEntry

__all__ = ['KIND_ROLLOUTS', 'KIND_VMS', 'ObjectStore']

KIND_VMS: Final = 'nutmegstep-vms'
"""Kind of the entries by which VMs find and count each other."""
KIND_ROLLOUTS: Final = 'rollouts'
"""Kind of the orders of roll-outs, which are read with their status."""

_LOG: Final = logging.getLogger(__name__)
_MILLISECOND: Final = timedelta(milliseconds=1)
_NO_WAIT: Final = timedelta(0)
_STATUS_NOT_FOUND: Final = 404
_STATUS_CONFLICT: Final = 409
_STATUS_GONE: Final = 410
_JSON: Final = (('Content-Type', 'application/json'),)


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
        self._era: int | None = None

    async def list_kind(self, kind: str) -> Result[Listing, PlatformFailure]:
        """Return all objects of a kind, at the revision of the first page."""
        listed = await self._list_pages(kind, {})
        return listed.map(
            lambda page: Listing(
                {
                    name_of(one): _document_of(kind, one)
                    for one in page.listed_objects
                },
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

        The history of an earlier era is gone, also if the store has given out
        the same number again.

        Parameters
        ----------
        kind : str
            Kind of objects.
        revision : int
            Revision of the last listing or watch.
        wait : datetime.timedelta
            Longest wait; after it no changes are returned.
        """
        number = number_of(revision)
        query = {'watch': number, 'wait_ms': wait // _MILLISECOND}
        called = await self._call(
            'watch',
            HttpCall('GET', _path(kind, query)),
            poll=wait,
        )
        if not is_successful(called):
            return Failure(called.failure())
        reply = called.unwrap()
        is_same_era = era_of_reply(reply) == era_of(revision)
        if reply.status == _STATUS_GONE or not is_same_era:
            return Success(HistoryGone())
        return decode_reply(
            partial(read_changes, read_object=partial(_document_of, kind)),
            reply,
        )

    async def list_vms(self) -> Result[dict[str, VmEntry], PlatformFailure]:
        """Return the registry entries of all VMs, possibly seconds stale."""
        listed = await self._list_pages(KIND_VMS, {'allow_stale': 1})
        return listed.map(
            lambda page: {
                name_of(one): read_vm_entry(one) for one in page.listed_objects
            },
        )

    async def put_vm(
        self,
        name: str,
        entry: VmEntry,
    ) -> Result[bool, PlatformFailure]:
        """Create or renew the registry entry of a VM.

        `entry.revision` is written as part of the entry, so that each renewal
        differs from the previous one. The result is whether there was an entry.
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
        had_entry = self._has_entry
        called = await self._call(*writes[0], is_write=True)
        if _conflicts(called):
            had_entry = not had_entry
            called = await self._call(*writes[1], is_write=True)
        if _conflicts(called):
            detail = f'entry of {name} created or deleted between two writes'
            return Failure(
                PlatformFailure(PlatformFailureKind.UNAVAILABLE, detail),
            )
        self._has_entry = is_successful(called)
        return called.map(lambda _: had_entry)

    async def delete_vm(self, name: str) -> Result[None, PlatformFailure]:
        """Delete the registry entry of a VM that no longer renews it."""
        return await self.delete_object(KIND_VMS, name)

    async def put_object(
        self, kind: str, name: str
    ) -> Result[None, PlatformFailure]:
        """Create an object without contents, unless it exists."""
        body = orjson.dumps({'meta': {'name': name}, 'spec': {}})
        call = HttpCall('POST', _path(kind, {}), body, _JSON)
        called = await self._call('create', call, is_write=True)
        return called.map(lambda _: None)

    async def delete_object(
        self, kind: str, name: str
    ) -> Result[None, PlatformFailure]:
        """Delete an object, if it exists."""
        call = HttpCall('DELETE', f'{_path(kind, {})}/{quote(name)}')
        called = await self._call('delete', call, is_write=True)
        return called.map(lambda _: None)

    async def put_status(
        self,
        kind: str,
        name: str,
        revision: int,
        status: Mapping[str, str],
    ) -> Result[StatusWrite, PlatformFailure]:
        """Replace the status of an object that has not changed.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.
        revision : int
            Revision of its latest change; the write is refused if it has another
            one.
        status : Mapping
            The status.
        """
        document = {'meta': {'name': name, 'rev': revision}, 'status': status}
        path = f'{_path(kind, {})}/{quote(name)}/status'
        call = HttpCall('PUT', path, orjson.dumps(document), _JSON)
        called = await self._call('replace', call, is_write=True)
        return called.map(_read_status_write)

    def close(self) -> None:
        """Close idle connections."""
        self._transport.close()

    async def _list_pages(
        self,
        kind: str,
        query: Mapping[str, object],
    ) -> Result[Page, PlatformFailure]:
        found = await self._list_page(kind, query)
        after = found.map(last_name).value_or('')
        while after:
            next_page = await self._list_page(kind, {**query, 'after': after})
            # The result keeps the revision of the first page. A watch from
            # there repeats the changes made while the others were read.
            found = found.bind(partial(append_page, next_page))
            after = next_page.map(last_name).value_or('')
        return found

    async def _list_page(
        self,
        kind: str,
        query: Mapping[str, object],
    ) -> Result[Page, PlatformFailure]:
        called = await self._call('list', HttpCall('GET', _path(kind, query)))
        return called.bind(partial(decode_reply, read_page))

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
        if is_successful(called):
            self._log_new_era(era_of_reply(called.unwrap()))
        checked = called.bind(lambda reply: check_status(http, reply))
        outcome = 'ok'
        if not is_successful(checked):
            outcome = checked.failure().kind.value
        self._counter.labels(operation, outcome).inc()
        return checked

    def _log_new_era(self, era: int) -> None:
        if era == self._era:
            return
        if self._era is not None:
            fields = {'era': era, 'previous': self._era}
            _LOG.warning('store era changed', extra=fields)
        self._era = era


def _document_of(kind: str, one: Mapping[str, Any]) -> object:
    return one if kind == KIND_ROLLOUTS else one.get('spec')


def _read_status_write(reply: HttpReply) -> StatusWrite:
    try:
        document = decode_leniently(reply.body)
    except ValueError:
        document = None
    return StatusWrite(document, not is_success(reply))


def _conflicts(called: Result[HttpReply, PlatformFailure]) -> bool:
    # 409: the object to create exists. 404: the one to replace does not.
    missed = (_STATUS_CONFLICT, _STATUS_NOT_FOUND)
    return is_successful(called) and called.unwrap().status in missed


def _path(kind: str, query: Mapping[str, object]) -> str:
    suffix = f'?{urlencode(query)}' if query else ''
    return f'/v1/objects/{kind}{suffix}'
