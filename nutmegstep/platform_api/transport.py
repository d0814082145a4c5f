"""Sends HTTP requests to the platform over reused connections."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

import h11
from returns.result import Failure, Result, Success

from nutmegstep.clock import Clock, SystemClock
from nutmegstep.platform_api.connection import (
    HttpCall,
    HttpReply,
    PlatformConnection,
)
from nutmegstep.platform_api.records import (
    PlatformFailure,
    PlatformFailureKind,
)

__all__ = ['CALL_TIMEOUT', 'IDLE_TIMEOUT', 'HttpTransport']

CALL_TIMEOUT: Final = timedelta(seconds=2)
IDLE_TIMEOUT: Final = timedelta(seconds=15)
_NO_POLL: Final = timedelta(0)


@dataclass(frozen=True, slots=True)
class _Attempt:
    http: HttpCall
    is_write: bool
    seconds: float
    deadline: float

    def fail(
        self,
        kind: PlatformFailureKind,
        detail: str,
        *,
        sent: bool,
    ) -> Result[HttpReply, PlatformFailure]:
        located_detail = f'{self.http.method} {self.http.path}: {detail}'
        return Failure(
            PlatformFailure(kind, located_detail, sent and self.is_write)
        )


class HttpTransport:
    """Sends HTTP requests to the platform and reuses connections.

    The connection that was used last is taken first.

    Parameters
    ----------
    host : str
        IP address of the platform.
    port : int
        TCP port.
    clock : Clock, optional
        Clock that measures the idle time of connections.
    timeout : datetime.timedelta, optional
        Maximum time of a call, connecting included. The `poll` time of a call
        is added to it.
    """

    def __init__(
        self,
        host: str,
        port: int,
        clock: Clock | None = None,
        timeout: timedelta = CALL_TIMEOUT,
    ) -> None:
        self._host = host
        self._port = port
        self._clock = clock or SystemClock()
        self._timeout = timeout
        self._idle: list[PlatformConnection] = []

    async def call(
        self,
        http: HttpCall,
        *,
        is_write: bool = False,
        poll: timedelta = _NO_POLL,
    ) -> Result[HttpReply, PlatformFailure]:
        """Send a request and return its reply, whatever its status code.

        Parameters
        ----------
        http : HttpCall
            The request.
        is_write : bool, optional
            Whether the request may have taken effect if no reply arrives.
        poll : datetime.timedelta, optional
            Maximum time for which the platform may delay the reply.
        """
        seconds = (self._timeout + poll).total_seconds()
        deadline = asyncio.get_running_loop().time() + seconds
        attempt = _Attempt(http, is_write, seconds, deadline)
        try:
            async with asyncio.timeout_at(attempt.deadline):
                connection = await self._acquire()
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

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

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
        except h11.ProtocolError as error:
            kind = PlatformFailureKind.INVALID_REPLY
            return attempt.fail(kind, str(error), sent=connection.bytes_sent)
        finally:
            self._release(connection)
        return Success(reply)

    async def _acquire(self) -> PlatformConnection:
        idle_limit = self._clock.monotonic() - IDLE_TIMEOUT.total_seconds()
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable and connection.idle_since > idle_limit:
                return connection
            connection.close()
        return await PlatformConnection.open(self._host, self._port)

    def _release(self, connection: PlatformConnection) -> None:
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since = self._clock.monotonic()
        self._idle.append(connection)
