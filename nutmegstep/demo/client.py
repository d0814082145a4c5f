"""Minimal HTTP client for demonstrations and measurements."""

import asyncio

import h11

__all__ = ['post', 'request']

_READ_BYTES = 65536


async def post(address: str, path: str, body: bytes) -> tuple[int, bytes]:
    """Send one POST request on a new connection.

    Parameters
    ----------
    address : str
        ``host:port``.
    path : str
        Path of the resource.
    body : bytes
        JSON document.

    Returns
    -------
    tuple of int and bytes
        Status and body.
    """
    return await request('POST', address, path, body)


async def request(
    method: str,
    address: str,
    path: str,
    body: bytes = b'',
) -> tuple[int, bytes]:
    """Send one request on a new connection and read the whole response.

    Parameters
    ----------
    method : str
        HTTP method.
    address : str
        ``host:port``.
    path : str
        Path of the resource.
    body : bytes
        JSON document.

    Returns
    -------
    tuple of int and bytes
        Status and body.
    """
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    http = h11.Connection(h11.CLIENT)
    head = h11.Request(
        method=method,
        target=path,
        headers=[('Host', address), ('Content-Length', str(len(body)))],
    )
    parts = (
        http.send(head),
        http.send(h11.Data(data=body)),
        http.send(h11.EndOfMessage()),
    )
    writer.write(b''.join(part or b'' for part in parts))
    status = 0
    chunks: list[bytes] = []
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
        else:
            writer.close()
            return status, b''.join(chunks)
