"""HTTP calls to the platform's object API."""

import asyncio
from dataclasses import dataclass
from typing import Final

import h11

__all__ = ['ObjectReply', 'PlatformClient']

_READ_BYTES: Final = 65536


@dataclass(frozen=True, slots=True)
class ObjectReply:
    """Reply of the object API.

    Parameters
    ----------
    status : int
        HTTP status.
    version : str
        Entity tag of the object, empty when absent.
    document : bytes
        Value of the object.
    """

    status: int
    version: str
    document: bytes


class PlatformClient:
    """Calls the object API; one connection per call.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    timeout : float
        Seconds for a whole call.
    """

    def __init__(self, host: str, port: int, timeout: float = 2) -> None:
        self._host = host
        self._port = port
        self._timeout = timeout

    async def get(self, name: str) -> ObjectReply:
        """Read an object.

        Raises
        ------
        OSError
            The platform cannot be reached.
        TimeoutError
            No complete reply within the timeout.
        """
        return await self._call('GET', name, b'', [])

    async def put(
        self,
        name: str,
        document: bytes,
        expected_version: str | None = None,
    ) -> ObjectReply:
        """Write an object.

        Parameters
        ----------
        name : str
            Name of the object.
        document : bytes
            New value.
        expected_version : str, optional
            Entity tag that the object must have; None creates the object
            and fails when it exists.

        Raises
        ------
        OSError, TimeoutError
            The write may have taken effect.
        """
        condition = (
            ('If-None-Match', '*')
            if expected_version is None
            else ('If-Match', expected_version)
        )
        return await self._call('PUT', name, document, [condition])

    async def _call(
        self,
        method: str,
        name: str,
        body: bytes,
        headers: list[tuple[str, str]],
    ) -> ObjectReply:
        async with asyncio.timeout(self._timeout):
            reader, writer = await asyncio.open_connection(
                self._host,
                self._port,
            )
            try:
                return await _exchange(
                    reader,
                    writer,
                    h11.Request(
                        method=method,
                        target=f'/objects/{name}',
                        headers=[
                            ('Host', f'{self._host}:{self._port}'),
                            ('Content-Length', str(len(body))),
                            ('Connection', 'close'),
                            *headers,
                        ],
                    ),
                    body,
                )
            finally:
                writer.close()


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    request: h11.Request,
    body: bytes,
) -> ObjectReply:
    http = h11.Connection(h11.CLIENT)
    parts = (
        http.send(request),
        http.send(h11.Data(data=body)),
        http.send(h11.EndOfMessage()),
    )
    writer.write(b''.join(part or b'' for part in parts))
    status = 0
    version = ''
    chunks: list[bytes] = []
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
            version = dict(event.headers).get(b'etag', b'').decode('latin-1')
        elif isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
        else:
            return ObjectReply(status, version, b''.join(chunks))
