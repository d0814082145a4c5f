"""Reads from relays while they answer, and from the store otherwise."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Final, TypeVar

from returns.pipeline import is_successful
from returns.result import Result

from nutmegstep.platform_api.records import PlatformFailure
from nutmegstep.relay.core import RelayChoice
from nutmegstep.relay.reader import RelayReader
from nutmegstep.store_watch import (
    HistoryGone,
    Listing,
    ObjectChanges,
    StoreReader,
)
from nutmegstep.store_watch.waiting import cancel_on_event

__all__ = ['FallbackReader']

_LOG: Final = logging.getLogger(__name__)
_RELAY_RETRY_DELAY_S: Final = 3.0
"""Time for which the store is read after all relays have failed."""
_Value = TypeVar('_Value')


class FallbackReader:
    """Reads from the first relay that answers, or else from the store.

    Relays return the revisions of the store, so a watch continues at another
    reader from the revision that it had reached.

    Parameters
    ----------
    store : StoreReader
        Client of the store, which is used when no relay answers.
    connect : Callable
        Returns a client of the relay at an address.

    Attributes
    ----------
    uses_relay : asyncio.Event
        Set while a relay is in use; such a VM does not serve as a relay.
    """

    def __init__(
        self,
        store: StoreReader,
        connect: Callable[[str], RelayReader],
    ) -> None:
        self.uses_relay = asyncio.Event()
        self._store = store
        self._connect = connect
        self._choice = RelayChoice(())
        self._relays: list[RelayReader] = []
        self._relay_index = 0
        self._reader_changed = asyncio.Event()
        self._retry_relays_at = float(0)

    def use_relays(self, choice: RelayChoice) -> None:
        """Read from relays, in their order; an equal choice has no effect."""
        if choice == self._choice:
            return
        for relay in self._relays:
            relay.close()
        self._choice = choice
        self._relays = [self._connect(one) for one in choice.addresses]
        self._use_reader(0)

    async def list_kind(self, kind: str) -> Result[Listing, PlatformFailure]:
        """Return all objects of a kind."""
        return await self._call(lambda reader: reader.list_kind(kind))

    async def watch_kind(
        self,
        kind: str,
        revision: int,
        wait: timedelta,
    ) -> Result[ObjectChanges | HistoryGone, PlatformFailure]:
        """Return the changes after a revision, waiting until there are any."""
        return await self._call(
            lambda reader: reader.watch_kind(kind, revision, wait),
        )

    async def _call(
        self,
        call: Callable[
            [StoreReader],
            Awaitable[Result[_Value, PlatformFailure]],
        ],
    ) -> Result[_Value, PlatformFailure]:
        self._retry_relays()
        while self._relay_index < len(self._relays):
            index = self._relay_index
            reader_changed = self._reader_changed
            called = await cancel_on_event(
                reader_changed, call(self._relays[index])
            )
            if called is None:
                continue
            if is_successful(called):
                return called
            if not reader_changed.is_set():
                fields = {'detail': called.failure().detail}
                _LOG.warning('relay left', extra=fields)
                self._use_reader(index + 1)
        reader_changed = self._reader_changed
        called = await cancel_on_event(reader_changed, call(self._store))
        return await self._call(call) if called is None else called

    def _retry_relays(self) -> None:
        if self._relay_index < len(self._relays) or not self._relays:
            return
        now = asyncio.get_running_loop().time()
        if now >= self._retry_relays_at:
            self._use_reader(0)

    def _use_reader(self, index: int) -> None:
        reader_changed = self._reader_changed
        self._reader_changed = asyncio.Event()
        self._relay_index = index
        now = asyncio.get_running_loop().time()
        self._retry_relays_at = now + _RELAY_RETRY_DELAY_S
        reader_changed.set()
        if index < len(self._relays):
            self.uses_relay.set()
        else:
            self.uses_relay.clear()
