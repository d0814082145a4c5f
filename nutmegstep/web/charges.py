"""Charges one server connection to the account of its process."""

import asyncio
from collections.abc import Callable
from typing import Final

from nutmegstep.web.account import Holding, MemoryAccount
from nutmegstep.web.messages import HttpRequest
from nutmegstep.web.reader import HEADER_BYTES, RequestReader

__all__ = ['CONNECTION_BYTES', 'RECEIVE_BUFFER_BYTES', 'ConnectionCharge']

CONNECTION_BYTES: Final = 8 * 1024
"""Memory of a connection without a request: 4.5 KB as measured (docs/CAPACITY.md),
and up to 4 KB that the parser keeps of the next request."""
RECEIVE_BUFFER_BYTES: Final = 32 * 1024
"""Bytes that the kernel takes for a connection that is not read. They count toward
the memory of a VM."""
_REQUEST_BYTES: Final = 16 * 1024
"""Memory of a request that is being handled, without its headers and body."""
_BODY_COPIES: Final = 3
"""Bodies in memory while a request is handled: the request's, the message to a
target, and one more for a repeat, a hedge or a coordinator."""


class ConnectionCharge:
    """Keeps the holding of a connection equal to what it has in memory.

    Parameters
    ----------
    account : MemoryAccount
        Account of the process.
    transport : asyncio.Transport
        Transport of the connection.
    reader : RequestReader
        Reads the requests of the connection.
    give_up : Callable
        Called to make the connection give up what it holds.
    now : Callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        account: MemoryAccount,
        transport: asyncio.Transport,
        reader: RequestReader,
        give_up: Callable[[], None],
        now: Callable[[], float],
    ) -> None:
        self._account = account
        self._transport = transport
        self._reader = reader
        self._give_up = give_up
        self._now = now
        self._request_bytes = 0
        self._holding = Holding(CONNECTION_BYTES, self._on_give_up, now())

    def open(self) -> bool:
        """Charge a new connection; return whether there is room for it."""
        return self._account.open(self._holding, self._now())

    def close(self) -> None:
        """Free the charge of a closed connection."""
        self._account.close(self._holding)

    def admit(self, count: int) -> bool:
        """Charge received bytes before they are kept, if there is room."""
        # A body that grows takes up to an eighth more than its bytes.
        size = self._holding.size + count + (count >> 3)
        return self._account.resize(self._holding, size, self._now())

    def settle(self) -> bool:
        """Charge what the connection holds now, if there is room."""
        return self._account.resize(self._holding, self._size(), self._now())

    def hold_request(self, request: HttpRequest) -> bool:
        """Charge a request that is about to be handled, if there is room.

        The connection then keeps what it holds until `end_request`.
        """
        self._request_bytes = (
            _REQUEST_BYTES
            + len(request.header_items) * HEADER_BYTES
            + len(request.body) * _BODY_COPIES
        )
        if not self.settle():
            self._request_bytes = 0
            return False
        self._holding.may_give_up = False
        return True

    def end_request(self) -> bool:
        """Charge the unread rest of an answer instead of the request.

        Returns
        -------
        bool
            Whether there is room for that rest.
        """
        self._request_bytes = 0
        self._holding.may_give_up = True
        return self.settle()

    def _on_give_up(self) -> None:
        # A peer that reads its answer has less than it is charged for.
        if self._size() >= self._holding.size:
            self._give_up()
        # Only a smaller size: making room for a larger one would begin anew.
        if self._size() < self._holding.size:
            self.settle()

    def _size(self) -> int:
        size = (
            CONNECTION_BYTES
            + self._request_bytes
            + self._reader.held_bytes
            + self._transport.get_write_buffer_size()
        )
        # `is_reading` is False for a transport that is closing, too.
        if self._transport.is_reading() or self._transport.is_closing():
            return size
        return size + RECEIVE_BUFFER_BYTES
