"""Connection of one entry process to the platform, with faults."""

import asyncio
import enum

__all__ = ['LinkMode', 'PlatformLink']

_READ_BYTES = 65536
_DELAY_SECONDS = 0.2


@enum.unique
class LinkMode(enum.Enum):
    """What the link does with bytes."""

    PASS = 'pass'
    CUT = 'cut'
    SILENT = 'silent'
    LOSE_ANSWERS = 'lose_answers'
    DELAY = 'delay'


class PlatformLink:
    """Forwards bytes to the platform stand-in.

    Attributes
    ----------
    mode : LinkMode
        With `LOSE_ANSWERS` the platform receives a call and its answer is
        lost with the connection.
    address : str
        Where the link listens, once started.
    """

    def __init__(self, platform: str) -> None:
        self.mode = LinkMode.PASS
        self.address = ''
        self._platform = platform
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen and return the address for the entry process."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'
        return self.address

    def switch(self, mode: LinkMode) -> None:
        """Change the mode; a cut closes what is open."""
        self.mode = mode
        if mode is LinkMode.CUT:
            self._abort_all()

    def close(self) -> None:
        """Stop to listen and close all connections."""
        if self._server is not None:
            self._server.close()
        self._abort_all()

    def _abort_all(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.mode is LinkMode.CUT:
            writer.transport.abort()
            return
        host, port = self._platform.rsplit(':', 1)
        answers, calls = await asyncio.open_connection(host, int(port))
        self._writers.update((writer, calls))
        await asyncio.gather(
            self._forward(reader, calls, answers=False),
            self._forward(answers, writer, answers=True),
        )
        self._writers.difference_update((writer, calls))

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        try:
            while chunk := await reader.read(_READ_BYTES):
                if answers and self.mode is LinkMode.LOSE_ANSWERS:
                    break
                if self.mode is LinkMode.DELAY:
                    await asyncio.sleep(_DELAY_SECONDS)
                if self.mode is not LinkMode.SILENT:
                    writer.write(chunk)
        except ConnectionError:
            pass  # The other side is closed below.
        writer.transport.abort()
