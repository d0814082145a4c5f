"""Converts objects of the store to events of the dispatcher."""

import logging
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Final

from returns.pipeline import is_successful

from nutmegstep.clock import Clock
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    ConfigurationRead,
    CrashDeleted,
    CrashesListed,
    CrashStored,
    DomainsWithdrawn,
    TargetAnnounced,
    TargetRemoved,
    TargetsListed,
)
from nutmegstep.dispatch.events import Event
from nutmegstep.gateway.adapter import PlatformAdapter
from nutmegstep.gateway.crash_records import read_record
from nutmegstep.gateway.rollout_store import rollout_subscription
from nutmegstep.store_watch import (
    Listing,
    ObjectChange,
    ObjectChanges,
    Subscription,
)

__all__ = ['StoreSubscriptions', 'crash_subscription']

_LOG: Final = logging.getLogger(__name__)
_PROBER_MAX_WAIT: Final = timedelta(seconds=2)
"""Longest wait of the watch that probes whether the store answers. With the
call time-out of 2 s it ends within 4 s, the time after an outage in which
changes must be in force again."""
_MAX_WAIT: Final = timedelta(seconds=20)
"""Longest wait of the other watches. Each call to the store is charged for."""
_MAX_LAG: Final = timedelta(seconds=1)
"""Time for which a watch may stay open after another watch has returned a newer
revision. After it the watch is repeated, because its answer may be lost."""
_WITHDRAWAL_MAX_LAG: Final = timedelta(seconds=4)
"""Time for which the watch of withdrawals may stay open after another watch has
returned a newer revision. With a shorter time each change of a target, which is
frequent, would cost a call. A withdrawal must be in force after 5 s."""
_CRASHES_MAX_LAG: Final = timedelta(seconds=10)
"""Time for which the watch of crash records may stay open after another watch
has returned a newer revision. Each repeated watch costs a call, and the store
changes often; the watch itself returns a record at once."""
_BATCH_PAUSE: Final = timedelta(milliseconds=100)
"""Pause after a change of the configuration or of the withdrawals, so that one
call returns several changes."""
_TARGET_BATCH_PAUSE: Final = timedelta(milliseconds=500)
"""Pause after a change of targets, many of which change together. It is a sixth
of the time after which a draining target must get no new requests."""


class StoreSubscriptions:
    """Subscriptions to the kinds of objects that a gateway watches.

    Parameters
    ----------
    adapter : PlatformAdapter
        Decodes objects and names their kinds.
    clock : Clock
        Monotonic clock that gives the time at which announcements are read.
    dispatch : Callable
        Passes an event to the dispatcher.
    has_rollouts : bool
        Whether orders of roll-outs are watched.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        clock: Clock,
        dispatch: Callable[[Event], None],
        *,
        has_rollouts: bool = False,
    ) -> None:
        self._has_rollouts = has_rollouts
        self._adapter = adapter
        self._clock = clock
        self._dispatch = dispatch
        self._withdrawn_domains: set[str] = set()
        self._has_newest_configuration = False

    def subscriptions(self) -> tuple[Subscription, ...]:
        """Return the subscriptions; the first one probes the store."""
        kinds = self._adapter.kinds
        rollouts = (
            (rollout_subscription(self._adapter, self._dispatch),)
            if self._has_rollouts
            else ()
        )
        return (
            Subscription(
                kinds.configuration,
                _PROBER_MAX_WAIT,
                _BATCH_PAUSE,
                _MAX_LAG,
                self._on_configurations_listed,
                self._on_configurations_changed,
            ),
            Subscription(
                kinds.targets,
                _MAX_WAIT,
                _TARGET_BATCH_PAUSE,
                _MAX_LAG,
                self._on_targets_listed,
                _for_each(self._on_target_changed),
            ),
            Subscription(
                kinds.withdrawals,
                _MAX_WAIT,
                _BATCH_PAUSE,
                _WITHDRAWAL_MAX_LAG,
                self._on_withdrawals_listed,
                _for_each(self._on_withdrawal_changed),
            ),
            crash_subscription(kinds.crashes, self._dispatch),
            *rollouts,
        )

    def _on_configurations_listed(self, listing: Listing) -> None:
        current = self._adapter.kinds.current
        document = listing.documents_by_name.get(current)
        if document is None:
            _LOG.info('the store has no configuration yet')
        else:
            self._apply_configuration(document)
        self._confirm_configuration()

    def _on_configurations_changed(self, found: ObjectChanges) -> None:
        for change in found.changes:
            self._on_configuration_changed(change)
        self._confirm_configuration()

    def _confirm_configuration(self) -> None:
        if self._has_newest_configuration:
            self._dispatch(ConfigurationRead())

    def _on_configuration_changed(self, change: ObjectChange) -> None:
        if change.name != self._adapter.kinds.current:
            return
        if change.is_deleted:
            _LOG.error('configuration deleted, the last one stays in force')
            return
        self._apply_configuration(change.document)

    def _apply_configuration(self, document: object) -> None:
        read = self._adapter.read_configuration(document)
        self._has_newest_configuration = is_successful(read)
        if is_successful(read):
            self._dispatch(ConfigurationChanged(read.unwrap()))
        else:
            fields = {'detail': read.failure()}
            _LOG.error('configuration is invalid', extra=fields)

    def _on_targets_listed(self, listing: Listing) -> None:
        records = self._read_targets(listing)
        self._dispatch(
            TargetsListed({one.target_id: one for one in records}),
        )

    def _read_targets(self, listing: Listing) -> Iterator[TargetRecord]:
        for name, document in listing.documents_by_name.items():
            record = self._read_target(name, document)
            if record is not None:
                yield record

    def _read_target(
        self,
        name: str,
        document: object,
    ) -> TargetRecord | None:
        now = self._clock.monotonic()
        read = self._adapter.read_target(name, document, now)
        if is_successful(read):
            return read.unwrap()
        fields = {'target': name, 'detail': read.failure()}
        _LOG.warning('announcement cannot be read', extra=fields)
        return None

    def _on_target_changed(self, change: ObjectChange) -> None:
        record = None
        if not change.is_deleted:
            record = self._read_target(change.name, change.document)
        if record is None:
            self._dispatch(TargetRemoved(change.name))
        else:
            self._dispatch(TargetAnnounced(record))

    def _on_withdrawals_listed(self, listing: Listing) -> None:
        self._withdrawn_domains = set(listing.documents_by_name)
        self._dispatch(DomainsWithdrawn(frozenset(self._withdrawn_domains)))

    def _on_withdrawal_changed(self, change: ObjectChange) -> None:
        if change.is_deleted:
            self._withdrawn_domains.discard(change.name)
        else:
            self._withdrawn_domains.add(change.name)
        self._dispatch(DomainsWithdrawn(frozenset(self._withdrawn_domains)))


def _for_each(
    handle: Callable[[ObjectChange], None],
) -> Callable[[ObjectChanges], None]:
    def handle_all(found: ObjectChanges) -> None:
        for change in found.changes:
            handle(change)

    return handle_all


def crash_subscription(
    kind: str, dispatch: Callable[[Event], None]
) -> Subscription:
    """Return the subscription to the crash records in the store.

    Parameters
    ----------
    kind : str
        Kind of the records.
    dispatch : Callable
        Passes an event to the dispatcher.
    """

    def handle_listing(listing: Listing) -> None:
        read = map(read_record, listing.documents_by_name)
        dispatch(CrashesListed(frozenset(filter(None, read))))

    def handle_change(change: ObjectChange) -> None:
        record = read_record(change.name)
        if record is not None:
            event = CrashDeleted if change.is_deleted else CrashStored
            dispatch(event(record))

    return Subscription(
        kind,
        _MAX_WAIT,
        _BATCH_PAUSE,
        _CRASHES_MAX_LAG,
        handle_listing,
        _for_each(handle_change),
    )
