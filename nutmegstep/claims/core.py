"""Reducer that decides which attempt of a one-shot request may be sent.

A pure function from state and event to effects; `ClaimCoordinator` performs
the effects.
"""

from collections.abc import Callable, Iterable, Iterator
from types import MappingProxyType
from typing import Any, Final

from nutmegstep.claims.commit import (
    abandon_all,
    advance,
    apply_read,
    complete_batch,
)
from nutmegstep.claims.keys import check_key, fingerprint, journal_name
from nutmegstep.claims.local import ClaimPhase, ClaimStatus
from nutmegstep.claims.messages import (
    ClaimEffect,
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
)
from nutmegstep.claims.replies import (
    refuse_claimed,
    refuse_expired,
    refuse_reused,
    reply_finished,
)
from nutmegstep.claims.state import (
    ClaimReducerState,
    PendingClaim,
    journal_state,
)
from nutmegstep.engine.events import ClaimRefused
from nutmegstep.verdict import Verdict

__all__ = ['reduce_claims']

_NONCE_BITS: Final = 64
_STATUS_RETRY_SECONDS: Final = 0.05
# The event loop's timers use another clock than the reducer and may fire
# slightly early. Without the tolerance, `Woken` would skip a retry that is
# not quite due, and no further timer would be set for it.
_TIMER_TOLERANCE_SECONDS: Final = 0.001

_ReduceFunction = Callable[
    [ClaimReducerState, Any, float], Iterable[ClaimEffect]
]


def reduce_claims(
    state: ClaimReducerState,
    event: ClaimEvent,
    now: float,
) -> list[ClaimEffect]:
    """Apply an event to the state and return the effects to perform.

    Parameters
    ----------
    state : ClaimReducerState
        Changed in place.
    event : ClaimEvent
        The event to apply.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of ClaimEffect
        In the order in which they must be performed.

    Notes
    -----
    An attempt wins a claim only when a compare-and-set has put its nonce
    into the journal. Claims do not expire, so a VM that was paused still
    holds its claims. Another VM gets a claim only after the holder has
    replied that it abandoned it.
    """
    return list(_FUNCTION_BY_EVENT[type(event)](state, event, now))


def _on_requested(
    state: ClaimReducerState,
    event: ClaimRequested,
    now: float,
) -> Iterator[ClaimEffect]:
    request = event.request
    key = request.idempotency_key
    refusal = check_key(key, event.arrival_time)
    if refusal is not None:
        yield Notify(ClaimRefused(event.query_id, refusal))
        return
    pending = PendingClaim(
        event.query_id,
        key,
        fingerprint(request),
        journal_name(key),
        now,
        request.deadline,
        state.random.getrandbits(_NONCE_BITS).to_bytes(8, 'big'),
    )
    phase = state.local_claims.status(key.bytes, now).phase
    if phase is ClaimPhase.UNKNOWN or phase is ClaimPhase.ABANDONED:
        pending.replaceable_nonce = state.local_claims.nonce(key.bytes)
        yield from _enqueue(state, pending, now)
        return
    if state.local_claims.fingerprint(key.bytes) != pending.fingerprint:
        yield refuse_reused(pending)
        return
    state.awaiting_status_by_query[pending.query_id] = pending
    yield QueryClaimStatus(pending.query_id, state.incarnation, key)


def _enqueue(
    state: ClaimReducerState,
    pending: PendingClaim,
    now: float,
) -> Iterator[ClaimEffect]:
    state.local_claims.start(
        pending.key.bytes,
        pending.nonce,
        pending.fingerprint,
        now,
    )
    journal = journal_state(state, pending.journal)
    journal.pending_by_query[pending.query_id] = pending
    yield from advance(state, journal, now)


def _on_read(
    state: ClaimReducerState,
    event: JournalRead,
    now: float,
) -> Iterator[ClaimEffect]:
    journal = journal_state(state, event.name)
    yield from apply_read(
        state,
        journal,
        event.version,
        event.document,
        now,
    )


def _on_read_failed(
    state: ClaimReducerState,
    event: JournalReadFailed,
    now: float,
) -> Iterator[ClaimEffect]:
    yield from abandon_all(state, journal_state(state, event.name), now)


def _on_written(
    state: ClaimReducerState,
    event: JournalWritten,
    now: float,
) -> Iterator[ClaimEffect]:
    journal = journal_state(state, event.name)
    yield from complete_batch(state, journal, event.version, now)


def _on_write_undecided(
    state: ClaimReducerState,
    event: JournalConflict | JournalWriteUnknown,
    now: float,
) -> Iterator[ClaimEffect]:
    journal = journal_state(state, event.name)
    journal.busy = True
    yield ReadJournal(event.name)


def _on_claim_status_received(
    state: ClaimReducerState,
    event: ClaimStatusReceived,
    now: float,
) -> Iterator[ClaimEffect]:
    pending = state.awaiting_status_by_query.pop(event.query_id, None)
    if pending is None:
        return
    status = event.status or ClaimStatus(ClaimPhase.UNKNOWN)
    if status.phase is ClaimPhase.RUNNING:
        yield from _retry_status_later(state, pending, now)
    elif status.phase is ClaimPhase.FINISHED:
        yield reply_finished(pending, status)
    elif status.phase is ClaimPhase.ABANDONED:
        yield from _take_over(state, pending, status, now)
    else:
        yield refuse_claimed(pending, status.phase)


def _retry_status_later(
    state: ClaimReducerState,
    pending: PendingClaim,
    now: float,
) -> Iterator[ClaimEffect]:
    at = now + _STATUS_RETRY_SECONDS
    if at >= pending.deadline:
        yield refuse_expired(pending, Verdict.MAY_HAVE_RUN)
        return
    state.awaiting_status_by_query[pending.query_id] = pending
    state.status_retry_at_by_query[pending.query_id] = at
    yield WakeAt(at)


def _take_over(
    state: ClaimReducerState,
    pending: PendingClaim,
    status: ClaimStatus,
    now: float,
) -> Iterator[ClaimEffect]:
    """Claim an abandoned key, if the request is newer than the abandonment.

    A request that arrived before the abandonment is refused: the holder of
    the claim may already have told the caller that the request did not run.
    While another request of this VM takes the key over, this one waits: if
    one journal write held two attempts of a VM for the same key, both would
    be won.
    """
    if now - pending.arrived >= status.abandoned_age_s:
        yield refuse_claimed(pending, ClaimPhase.ABANDONED)
    elif (
        state.local_claims.status(pending.key.bytes, now).phase
        is ClaimPhase.RUNNING
    ):
        yield from _retry_status_later(state, pending, now)
    else:
        yield from _enqueue(state, pending, now)


def _on_outcome_known(
    state: ClaimReducerState,
    event: ClaimOutcomeKnown,
    now: float,
) -> Iterable[ClaimEffect]:
    phase = ClaimPhase.ABANDONED
    if event.answer is not None:
        phase = ClaimPhase.FINISHED
    elif event.may_have_run:
        phase = ClaimPhase.MAY_HAVE_RUN
    state.local_claims.record_outcome(event.key.bytes, phase, now, event.answer)
    return ()


def _on_woken(
    state: ClaimReducerState,
    event: Woken,
    now: float,
) -> Iterator[ClaimEffect]:
    waiting = [
        journal
        for journal in state.journals_by_name.values()
        if journal.pending_by_query
    ]
    for journal in waiting:
        yield from advance(state, journal, now)
    due = [
        query_id
        for query_id, at in state.status_retry_at_by_query.items()
        if at <= now + _TIMER_TOLERANCE_SECONDS
    ]
    for query_id in due:
        state.status_retry_at_by_query.pop(query_id)
        pending = state.awaiting_status_by_query.get(query_id)
        if pending is not None:
            yield from _query_status(state, pending)


def _query_status(
    state: ClaimReducerState,
    pending: PendingClaim,
) -> Iterator[ClaimEffect]:
    journal = journal_state(state, pending.journal)
    record = journal.records_by_key.get(pending.key.bytes)
    claimer = record.claimer if record else state.incarnation
    yield QueryClaimStatus(pending.query_id, claimer, pending.key)


_FUNCTION_BY_EVENT: Final[MappingProxyType[type, _ReduceFunction]] = (
    MappingProxyType(
        {
            ClaimRequested: _on_requested,
            JournalRead: _on_read,
            JournalReadFailed: _on_read_failed,
            JournalWritten: _on_written,
            JournalConflict: _on_write_undecided,
            JournalWriteUnknown: _on_write_undecided,
            ClaimStatusReceived: _on_claim_status_received,
            ClaimOutcomeKnown: _on_outcome_known,
            Woken: _on_woken,
        }
    )
)
