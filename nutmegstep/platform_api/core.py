"""Calls to the platform's object API with typed failures."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Final, TypeVar
from urllib.parse import quote, urlencode

import h11
from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from nutmegstep.clock import Clock, SystemClock
from nutmegstep.platform_api.connection import (
    HttpCall,
    HttpReply,
    PlatformConnection,
)
from nutmegstep.platform_api.records import (
    CallKind,
    PlatformFailure,
    PlatformFailureKind,
    StoredObject,
    VmRecord,
    WatchReply,
)
from nutmegstep.platform_api.status import failure_of_status

__all__ = ['CALL_TIMEOUT', 'IDLE_TIMEOUT', 'WATCH_POLL', 'ObjectClient']

CALL_TIMEOUT: Final = timedelta(seconds=2)
IDLE_TIMEOUT: Final = timedelta(seconds=15)
WATCH_POLL: Final = timedelta(seconds=30)
_MILLISECOND: Final = timedelta(milliseconds=1)
_NO_POLL: Final = timedelta(0)
_WRITES: Final = frozenset((CallKind.PUT, CallKind.DELETE))

_Value = TypeVar('_Value')
_vms_adapter = TypeAdapter(tuple[VmRecord, ...])
_watch_adapter = TypeAdapter(WatchReply)


@dataclass(frozen=True, slots=True)
class _Attempt:
    kind: CallKind
    http: HttpCall
    seconds: float
    deadline: float

    def fail(
        self,
        kind: PlatformFailureKind,
        detail: str,
        *,
        sent: bool,
    ) -> Result[HttpReply, PlatformFailure]:
        where = f'{self.http.method} {self.http.path}: {detail}'
        applied = sent and self.kind in _WRITES
        return Failure(PlatformFailure(kind, where, applied))


class ObjectClient:
    """Client of the object API; reuses connections, newest first.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    clock : Clock, optional
        Tells for how long a connection was idle.
    timeout : datetime.timedelta, optional
        Longest call, connecting included; a watch has its poll in addition.
    """

    def __init__(
        self,
        host: str,
        port: int,
        clock: Clock | None = None,
        timeout: timedelta = CALL_TIMEOUT,
    ) -> None:
        self.calls_by_kind: Counter[CallKind] = Counter()
        self._host = host
        self._port = port
        self._clock = clock or SystemClock()
        self._timeout = timeout
        self._idle: list[PlatformConnection] = []

    async def get(self, name: str) -> Result[StoredObject, PlatformFailure]:
        """Read an object; `NOT_FOUND` when it does not exist."""
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
        """Write an object if it is unchanged.

        Parameters
        ----------
        name : str
            Name of the object.
        document : bytes
            New value.
        expected_version : str, optional
            Entity tag that the object must have; None creates the object.

        Returns
        -------
        returns.result.Result
            The new entity tag; `CONFLICT` when the condition does not hold.
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
        """Delete an object; with an entity tag only if it is unchanged."""
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
        """Wait until one of the objects changes after revision `since`."""
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
        """Return the platform's list of VMs, which lags."""
        called = await self._call(CallKind.VMS, HttpCall('GET', '/vms'))
        return called.bind(_decoder(_vms_adapter.validate_json, 'VM list'))

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _call(
        self,
        kind: CallKind,
        http: HttpCall,
        poll: timedelta = _NO_POLL,
    ) -> Result[HttpReply, PlatformFailure]:
        self.calls_by_kind[kind] += 1
        seconds = (self._timeout + poll).total_seconds()
        deadline = asyncio.get_running_loop().time() + seconds
        attempt = _Attempt(kind, http, seconds, deadline)
        try:
            async with asyncio.timeout_at(attempt.deadline):
                connection = await self._take()
        except TimeoutError:
            detail = f'no connection within {attempt.seconds} s'
            return attempt.fail(
                PlatformFailureKind.TIMEOUT,
                detail,
                sent=False,
            )
        except OSError as error:
            return attempt.fail(
                PlatformFailureKind.UNREACHABLE,
                str(error),
                sent=False,
            )
        return await self._exchange(attempt, connection)

    async def _exchange(
        self,
        attempt: _Attempt,
        connection: PlatformConnection,
    ) -> Result[HttpReply, PlatformFailure]:
        try:
            async with asyncio.timeout_at(attempt.deadline):
                reply = await connection.exchange(attempt.http)
        except TimeoutError:
            kind = PlatformFailureKind.TIMEOUT
            detail = f'no reply within {attempt.seconds} s'
            return attempt.fail(kind, detail, sent=connection.bytes_sent)
        except OSError as error:
            kind = PlatformFailureKind.UNREACHABLE
            return attempt.fail(kind, str(error), sent=connection.bytes_sent)
        except h11.RemoteProtocolError as error:
            kind = PlatformFailureKind.INVALID_REPLY
            return attempt.fail(kind, str(error), sent=connection.bytes_sent)
        finally:
            self._give_back(connection)
        failed = failure_of_status(
            reply.status,
            f'{attempt.http.method} {attempt.http.path}',
            is_write=attempt.kind in _WRITES,
        )
        return Success(reply) if failed is None else Failure(failed)

    async def _take(self) -> PlatformConnection:
        oldest = self._clock.monotonic() - IDLE_TIMEOUT.total_seconds()
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable and connection.idle_since > oldest:
                return connection
            connection.close()
        return await PlatformConnection.open(self._host, self._port)

    def _give_back(self, connection: PlatformConnection) -> None:
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since = self._clock.monotonic()
        self._idle.append(connection)


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
