"""Client of the object API; failures are returned as values."""

from collections import Counter
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Final, TypeVar
from urllib.parse import quote, urlencode

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from nutmegstep.clock import Clock
from nutmegstep.platform_api.connection import HttpCall, HttpReply
from nutmegstep.platform_api.records import (
    CallKind,
    PlatformFailure,
    PlatformFailureKind,
    StoredObject,
    VmRecord,
    WatchReply,
)
from nutmegstep.platform_api.status import failure_of_status
from nutmegstep.platform_api.transport import (
    CALL_TIMEOUT,
    IDLE_TIMEOUT,
    HttpTransport,
)

__all__ = ['CALL_TIMEOUT', 'IDLE_TIMEOUT', 'WATCH_POLL', 'ObjectClient']

WATCH_POLL: Final = timedelta(seconds=30)
_MILLISECOND: Final = timedelta(milliseconds=1)
_NO_POLL: Final = timedelta(0)
_WRITES: Final = frozenset((CallKind.PUT, CallKind.DELETE))

_Value = TypeVar('_Value')
_vms_adapter = TypeAdapter(tuple[VmRecord, ...])
_watch_adapter = TypeAdapter(WatchReply)


class ObjectClient:
    """Client of the platform's object API.

    Connections are reused; the one that was used last is taken first.

    Parameters
    ----------
    host : str
        IP address of the platform.
    port : int
        TCP port.
    clock : Clock, optional
        Clock that measures the idle time of connections.
    timeout : datetime.timedelta, optional
        Maximum time of a call, connecting included. The poll time of a watch
        is added to it.

    Attributes
    ----------
    calls_by_kind : collections.Counter
        Number of calls of each kind.
    """

    def __init__(
        self,
        host: str,
        port: int,
        clock: Clock | None = None,
        timeout: timedelta = CALL_TIMEOUT,
    ) -> None:
        self.calls_by_kind: Counter[CallKind] = Counter()
        self._transport = HttpTransport(host, port, clock, timeout)

    async def get(self, name: str) -> Result[StoredObject, PlatformFailure]:
        """Read an object; fails with `NOT_FOUND` if it does not exist."""
        called = await self._call(CallKind.GET, HttpCall('GET', _path(name)))
        return called.map(
            lambda reply: StoredObject(name, reply.version, reply.body),
        )

    async def put(
        self,
        name: str,
        document: bytes,
        expected_version: str | None = None,
    ) -> Result[str, PlatformFailure]:
        """Write an object if its version is as expected.

        Parameters
        ----------
        name : str
            Name of the object.
        document : bytes
            New content.
        expected_version : str, optional
            Entity tag that the object must have; None if the object must not
            exist yet.

        Returns
        -------
        returns.result.Result
            The new entity tag, or a failure; its kind is `CONFLICT` if the
            version was not as expected.
        """
        condition = (
            ('If-None-Match', '*')
            if expected_version is None
            else ('If-Match', expected_version)
        )
        call = HttpCall('PUT', _path(name), document, (condition,))
        called = await self._call(CallKind.PUT, call)
        return called.map(lambda reply: reply.version)

    async def delete(
        self,
        name: str,
        expected_version: str | None = None,
    ) -> Result[None, PlatformFailure]:
        """Delete an object.

        Parameters
        ----------
        name : str
            Name of the object.
        expected_version : str, optional
            Entity tag that the object must have; None for any.
        """
        headers = (
            ()
            if expected_version is None
            else (('If-Match', expected_version),)
        )
        call = HttpCall('DELETE', _path(name), headers=headers)
        return (await self._call(CallKind.DELETE, call)).map(lambda _: None)

    async def watch(
        self,
        names: Sequence[str],
        since: int,
        poll: timedelta = WATCH_POLL,
    ) -> Result[WatchReply, PlatformFailure]:
        """Wait until one of the objects changes.

        Parameters
        ----------
        names : sequence of str
            Names of the objects.
        since : int
            Revision; changes made after it are reported.
        poll : datetime.timedelta, optional
            Maximum time to wait at the platform.
        """
        query = urlencode(
            {
                'names': ','.join(names),
                'since': since,
                'timeout_ms': poll // _MILLISECOND,
            },
        )
        call = HttpCall('GET', f'/watch?{query}')
        called = await self._call(CallKind.WATCH, call, poll)
        return called.bind(_decoder(_watch_adapter.validate_json, 'watch'))

    async def vms(self) -> Result[tuple[VmRecord, ...], PlatformFailure]:
        """Return the platform's list of VMs, which may be out of date."""
        called = await self._call(CallKind.VMS, HttpCall('GET', '/vms'))
        return called.bind(_decoder(_vms_adapter.validate_json, 'VM list'))

    def close(self) -> None:
        """Close the idle connections."""
        self._transport.close()

    async def _call(
        self,
        kind: CallKind,
        http: HttpCall,
        poll: timedelta = _NO_POLL,
    ) -> Result[HttpReply, PlatformFailure]:
        self.calls_by_kind[kind] += 1
        is_write = kind in _WRITES
        called = await self._transport.call(http, is_write=is_write, poll=poll)
        return called.bind(
            lambda reply: _check_status(reply, http, is_write),
        )


def _check_status(
    reply: HttpReply,
    http: HttpCall,
    is_write: bool,
) -> Result[HttpReply, PlatformFailure]:
    failed = failure_of_status(
        reply.status,
        f'{http.method} {http.path}',
        is_write=is_write,
    )
    return Success(reply) if failed is None else Failure(failed)


def _path(name: str) -> str:
    return f'/objects/{quote(name)}'


def _decoder(
    decode: Callable[[bytes], _Value],
    subject: str,
) -> Callable[[HttpReply], Result[_Value, PlatformFailure]]:
    def decode_reply(reply: HttpReply) -> Result[_Value, PlatformFailure]:
        try:
            return Success(decode(reply.body))
        except ValidationError as error:
            detail = f'{subject} is malformed: {error.error_count()} errors'
            kind = PlatformFailureKind.INVALID_REPLY
            return Failure(PlatformFailure(kind, detail))

    return decode_reply
