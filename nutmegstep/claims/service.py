"""Runs the claim reducer and performs its effects."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from types import MappingProxyType
from typing import Any, Final, Protocol
from uuid import UUID

from nutmegstep.claims.core import reduce_claims
from nutmegstep.claims.local import ClaimStatus
from nutmegstep.claims.messages import (
    ClaimEvent,
    ClaimOutcomeKnown,
    ClaimRequested,
    ClaimStatusReceived,
    JournalConflict,
    JournalRead,
    JournalReadFailed,
    JournalWriteUnknown,
    JournalWritten,
    Notify,
    QueryClaimStatus,
    ReadJournal,
    WakeAt,
    Woken,
    WriteJournal,
)
from nutmegstep.claims.state import ClaimReducerState
from nutmegstep.clock import Clock
from nutmegstep.engine.effects import RecordClaimOutcome
from nutmegstep.engine.events import ClaimRefused, ClaimWon, StoredAnswerFound
from nutmegstep.model import OneShotRequest

__all__ = ['ClaimCoordinator', 'JournalStore', 'QueryStatusFunction']

_log = logging.getLogger(__name__)

QueryStatusFunction = Callable[[int, UUID], Awaitable[ClaimStatus | None]]
"""Queries the status of the claim of a key at the entry process with the given
incarnation; returns None when the process does not reply."""


class JournalStore(Protocol):
    """Store of claim journals."""

    async def read(self, name: str) -> JournalRead | JournalReadFailed:
        """Read a journal; an absent one has an empty version."""

    async def write(
        self,
        name: str,
        expected_version: str,
        document: bytes,
    ) -> JournalWritten | JournalConflict | JournalWriteUnknown:
        """Write a journal if it has the expected version."""


class ClaimCoordinator:
    """Claims one-shot requests for one entry process.

    Parameters
    ----------
    state : ClaimReducerState
        State of the reducer.
    clock : Clock
        Clock of the VM.
    store : JournalStore
        Journals at the platform.
    query_status : Callable
        Queries another entry process for the status of its claim.
    deliver : Callable
        Called with each event for the engine.
    """

    def __init__(
        self,
        state: ClaimReducerState,
        clock: Clock,
        store: JournalStore,
        query_status: QueryStatusFunction,
        deliver: Callable[[ClaimWon | StoredAnswerFound | ClaimRefused], None],
    ) -> None:
        self._state = state
        self._clock = clock
        self._store = store
        self._query_status = query_status
        self._deliver = deliver
        self._tasks: set[asyncio.Task[None]] = set()

    def claim(self, request: OneShotRequest, query_id: int) -> None:
        """Start to claim the key of a request.

        Exactly one event for `query_id` is delivered later.
        """
        self._dispatch(ClaimRequested(query_id, request, self._clock.now()))

    def record_claim_outcome(self, effect: RecordClaimOutcome) -> None:
        """Record how the request of a won claim ended."""
        self._dispatch(
            ClaimOutcomeKnown(
                effect.idempotency_key,
                effect.answer,
                effect.may_have_run,
            ),
        )

    def status(self, key: bytes) -> ClaimStatus:
        """Return the status of this VM's claim of a key."""
        return self._state.local_claims.status(key, self._clock.monotonic())

    async def close(self) -> None:
        """Cancel the calls in flight."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _dispatch(self, event: ClaimEvent) -> None:
        now = self._clock.monotonic()
        for effect in reduce_claims(self._state, event, now):
            _PERFORM_BY_EFFECT[type(effect)](self, effect)

    def _start_call(
        self,
        call: Coroutine[Any, Any, ClaimEvent],
        failure: ClaimEvent,
    ) -> None:
        finishing = self._await_call(call, failure)
        task = asyncio.get_running_loop().create_task(finishing)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _await_call(
        self,
        call: Coroutine[Any, Any, ClaimEvent],
        failure: ClaimEvent,
    ) -> None:
        """Dispatch the outcome of a call; dispatch `failure` if it raises.

        Without an event the journal would stay busy for ever, and a drain
        would wait for the claims in it.
        """
        try:
            event = await call
        except Exception as error:
            # Only the type: the message may hold a key or a body.
            _log.error(
                'claim call to the platform or a peer raised %s',
                type(error).__name__,
            )
            event = failure
        self._dispatch(event)

    def _perform_read(self, effect: ReadJournal) -> None:
        self._start_call(
            self._store.read(effect.name),
            JournalReadFailed(effect.name),
        )

    def _perform_write(self, effect: WriteJournal) -> None:
        self._start_call(
            self._store.write(
                effect.name,
                effect.expected_version,
                effect.document,
            ),
            JournalWriteUnknown(effect.name),
        )

    def _perform_query_status(self, effect: QueryClaimStatus) -> None:
        self._start_call(
            self._query_claim_status(effect),
            ClaimStatusReceived(effect.query_id, None),
        )

    async def _query_claim_status(
        self, effect: QueryClaimStatus
    ) -> ClaimStatusReceived:
        if effect.claimer == self._state.incarnation:
            status: ClaimStatus | None = self.status(effect.key.bytes)
        else:
            status = await self._query_status(effect.claimer, effect.key)
        return ClaimStatusReceived(effect.query_id, status)

    def _perform_notify(self, effect: Notify) -> None:
        self._deliver(effect.event)

    def _perform_wake(self, effect: WakeAt) -> None:
        delay = max(0, effect.at - self._clock.monotonic())
        asyncio.get_running_loop().call_later(delay, self._dispatch, Woken())


_PERFORM_BY_EFFECT: Final[
    MappingProxyType[type, Callable[[ClaimCoordinator, Any], None]]
] = MappingProxyType(
    {
        ReadJournal: ClaimCoordinator._perform_read,
        WriteJournal: ClaimCoordinator._perform_write,
        QueryClaimStatus: ClaimCoordinator._perform_query_status,
        Notify: ClaimCoordinator._perform_notify,
        WakeAt: ClaimCoordinator._perform_wake,
    }
)
