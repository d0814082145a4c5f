"""Reads orders of roll-outs from the store and writes their state there."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Final

from returns.pipeline import is_successful

from nutmegstep.dispatch.effects import WriteRollout
from nutmegstep.dispatch.events import Event
from nutmegstep.dispatch.rollout_events import (
    RolloutDirected,
    RolloutRemoved,
    RolloutReported,
    RolloutsListed,
    RolloutStored,
)
from nutmegstep.gateway.adapter import PlatformAdapter, Store
from nutmegstep.rollouts import RolloutOrder
from nutmegstep.rollouts.messages import decode_directive, decode_report
from nutmegstep.store_watch import Listing, ObjectChanges, Subscription

__all__ = [
    'RolloutWriter',
    'read_directive',
    'read_report',
    'rollout_subscription',
]

_LOG: Final = logging.getLogger(__name__)
_MAX_WAIT: Final = timedelta(seconds=29)
"""Longest wait of the watch; the store allows 30 s. Each call is charged for."""
_MAX_LAG: Final = timedelta(seconds=10)
"""Time for which the watch may stay open after another watch has returned a newer
revision. Each repeated watch costs a call, and targets change often. The watch
itself returns an order at once; a VM that has missed one uses the old version."""
_BATCH_PAUSE: Final = timedelta(milliseconds=100)


class RolloutWriter:
    """Writes the states of roll-outs to the store, each once at a time.

    A write that fails is not repeated here: the decider asks for another one as long
    as it is due.

    Parameters
    ----------
    adapter : PlatformAdapter
        Formats of the platform.
    store : Store
        Client of the store.
    dispatch : Callable
        Passes an event to the dispatcher.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        store: Store,
        dispatch: Callable[[Event], None],
    ) -> None:
        self._adapter = adapter
        self._store = store
        self._dispatch = dispatch
        self._writes: dict[str, asyncio.Task[None]] = {}

    def write(self, effect: WriteRollout) -> None:
        """Start a write; it replaces one that has not been answered."""
        previous = self._writes.get(effect.service)
        if previous is not None:
            # It may still be executed; its revision makes that harmless.
            previous.cancel()
        write = asyncio.get_running_loop().create_task(self._write(effect))
        self._writes[effect.service] = write
        write.add_done_callback(lambda done: self._forget(effect.service, done))

    def close(self) -> None:
        """End all writes."""
        for write in tuple(self._writes.values()):
            write.cancel()

    def _forget(self, service: str, done: asyncio.Task[None]) -> None:
        if self._writes.get(service) is done:
            self._writes.pop(service)

    async def _write(self, effect: WriteRollout) -> None:
        adapter = self._adapter
        called = await self._store.put_status(
            adapter.kinds.rollouts,
            effect.service,
            effect.revision,
            adapter.write_rollout(effect.outcome, effect.version),
        )
        fields = {
            'service': effect.service,
            'version': effect.version,
            'state': effect.outcome.value,
        }
        if not is_successful(called):
            fields['detail'] = called.failure().detail
            _LOG.warning('state of a roll-out not written', extra=fields)
            return
        written = called.unwrap()
        message = (
            'state of a roll-out refused, the order has changed'
            if written.is_conflict
            else 'state of a roll-out written'
        )
        _LOG.info(message, extra=fields)
        read = adapter.read_rollout(effect.service, written.document)
        if is_successful(read):
            self._dispatch(RolloutStored(read.unwrap()))


def rollout_subscription(
    adapter: PlatformAdapter, dispatch: Callable[[Event], None]
) -> Subscription:
    """Return the subscription to the orders in the store.

    Parameters
    ----------
    adapter : PlatformAdapter
        Decodes orders and names their kind.
    dispatch : Callable
        Passes an event to the dispatcher.
    """

    def read(name: str, document: object) -> RolloutOrder | None:
        decoded = adapter.read_rollout(name, document)
        if is_successful(decoded):
            return decoded.unwrap()
        fields = {'service': name, 'detail': decoded.failure()}
        _LOG.warning('order of a roll-out cannot be read', extra=fields)
        return None

    def handle_listing(listing: Listing) -> None:
        orders = (read(*one) for one in listing.documents_by_name.items())
        dispatch(RolloutsListed(tuple(filter(None, orders))))

    def handle_changes(found: ObjectChanges) -> None:
        for change in found.changes:
            order = (
                None
                if change.is_deleted
                else read(change.name, change.document)
            )
            dispatch(
                RolloutStored(order) if order else RolloutRemoved(change.name)
            )

    return Subscription(
        adapter.kinds.rollouts,
        _MAX_WAIT,
        _BATCH_PAUSE,
        _MAX_LAG,
        handle_listing,
        handle_changes,
    )


def read_report(sender: str, content: Any) -> Event | None:
    """Decode the report of a VM; None if it is invalid."""
    report = decode_report(content)
    return None if report is None else RolloutReported(sender, report)


def read_directive(sender: str, content: Any) -> Event | None:
    """Decode the word of a decider; None if it is invalid."""
    word = decode_directive(content)
    if word is None:
        return None
    return RolloutDirected(
        sender, word.service, word.version, word.phase, word.age
    )
