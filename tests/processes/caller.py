"""Callers that send requests to entry processes over HTTP."""

import asyncio
from dataclasses import dataclass
from typing import Any
from uuid import UUID

import h11
import orjson

__all__ = ['RECORDS', 'Reply', 'run_once', 'send']

RECORDS = '/v1/services/all-records'
_READ_BYTES = 65536
_NO_REPLY_SECONDS = 2.5


@dataclass(frozen=True)
class Reply:
    """Status and body; status 0 when no whole reply arrived."""

    status: int
    document: dict[str, Any]

    @property
    def answered(self) -> bool:
        """Whether the reply is an answer."""
        return self.status == 200


async def send(
    address: str,
    path: str,
    body: bytes = b'',
    method: str = 'POST',
    **headers: str,
) -> Reply:
    """Send one request on a new connection."""
    try:
        async with asyncio.timeout(_NO_REPLY_SECONDS):
            return await _exchange(address, path, body, method, headers)
    except (OSError, TimeoutError, h11.RemoteProtocolError):
        return Reply(0, {})


async def run_once(address: str, marker: str, key: UUID) -> Reply:
    """Send a non-idempotent request."""
    return await send(
        address,
        f'{RECORDS}/records/{marker}',
        orjson.dumps({'marker': marker}),
        idempotency_key=str(key),
        x_timeout_ms='500',
    )


async def _exchange(
    address: str,
    path: str,
    body: bytes,
    method: str,
    headers: dict[str, str],
) -> Reply:
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    http = h11.Connection(h11.CLIENT)
    named = [(name.replace('_', '-'), text) for name, text in headers.items()]
    head = h11.Request(
        method=method,
        target=path,
        headers=[
            ('Host', address),
            ('Content-Length', str(len(body))),
            *named,
        ],
    )
    parts = (
        http.send(head),
        http.send(h11.Data(data=body)),
        http.send(h11.EndOfMessage()),
    )
    try:
        writer.write(b''.join(part or b'' for part in parts))
        return await _read_reply(http, reader)
    finally:
        writer.close()


async def _read_reply(
    http: h11.Connection,
    reader: asyncio.StreamReader,
) -> Reply:
    status = 0
    content = b''
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            content += event.data
        else:
            return Reply(status, orjson.loads(content) if content else {})
