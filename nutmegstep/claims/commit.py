"""Group commit: one write stores all claims that wait for a journal."""

from collections.abc import Iterator

from returns.result import Result, Success

from nutmegstep.claims.journal import (
    MAX_BYTES,
    ClaimRecord,
    decode_journal,
    encode_journal,
)
from nutmegstep.claims.local import ClaimPhase
from nutmegstep.claims.messages import (
    ClaimEffect,
    Notify,
    QueryClaimStatus,
    ReadJournal,
    WakeAt,
    WriteJournal,
)
from nutmegstep.claims.replies import (
    refuse_expired,
    refuse_full,
    refuse_reused,
    refuse_unavailable,
)
from nutmegstep.claims.state import (
    ClaimReducerState,
    JournalState,
    PendingClaim,
)
from nutmegstep.engine.events import ClaimWon
from nutmegstep.model import SendPermit
from nutmegstep.verdict import Verdict

__all__ = ['abandon_all', 'advance', 'apply_read', 'complete_batch']


def advance(
    state: ClaimReducerState,
    journal: JournalState,
    now: float,
) -> Iterator[ClaimEffect]:
    """Start the next platform call for a journal.

    No call is started while another one for the journal is in flight, or when
    no claim waits for the journal. The first call is a read. After it, claims
    that the records decide are decided, and the others are written together;
    the write waits while the write budget is used up.
    """
    if journal.busy or not journal.pending_by_query:
        return
    if journal.version is None:
        journal.busy = True
        yield ReadJournal(journal.name)
        return
    yield from _decide_pending(state, journal, now)
    if not journal.pending_by_query:
        return
    delay = state.write_budget.take(now)
    if delay:
        yield WakeAt(now + delay)
        return
    yield from _write(state, journal, now)


def apply_read(
    state: ClaimReducerState,
    journal: JournalState,
    version: str,
    document: bytes,
    now: float,
) -> Iterator[ClaimEffect]:
    """Store the records of a journal that was read, and start the next call.

    Claims of a write whose outcome is unknown wait again: the records show
    whether the write took effect.

    Parameters
    ----------
    state : ClaimReducerState
        Changed in place.
    journal : JournalState
        Changed in place.
    version : str
        Version of the platform object, empty when it does not exist.
    document : bytes
        Content of the object. All waiting claims are given up when it cannot
        be decoded.
    now : float
        Monotonic time in seconds.
    """
    journal.busy = False
    decoded: Result[dict[bytes, ClaimRecord], str] = Success({})
    if version:
        decoded = decode_journal(document)
    if not isinstance(decoded, Success):
        yield from abandon_all(state, journal, now)
        return
    journal.version = version
    journal.records_by_key = decoded.unwrap()
    for pending in journal.batch:
        journal.pending_by_query[pending.query_id] = pending
    journal.batch = []
    yield from advance(state, journal, now)


def complete_batch(
    state: ClaimReducerState,
    journal: JournalState,
    version: str,
    now: float,
) -> Iterator[ClaimEffect]:
    """Win every claim of a write that took effect, and start the next call."""
    journal.busy = False
    journal.version = version
    batch = journal.batch
    journal.batch = []
    for pending in batch:
        journal.records_by_key[pending.key.bytes] = _record(state, pending)
        yield _won(state, pending, now)
    yield from advance(state, journal, now)


def abandon_all(
    state: ClaimReducerState,
    journal: JournalState,
    now: float,
) -> Iterator[ClaimEffect]:
    """Give up every claim that waits for the journal.

    Notes
    -----
    A write in flight may still take effect. The local claims of its batch
    are marked as abandoned, so that this VM never sends the requests and
    tells other VMs that they may take the claims over.
    """
    waiting = [*journal.batch, *journal.pending_by_query.values()]
    journal.busy = False
    journal.version = None
    journal.batch = []
    journal.pending_by_query = {}
    for pending in waiting:
        _abandon(state, pending, now)
        yield refuse_unavailable(pending)


def _decide_pending(
    state: ClaimReducerState,
    journal: JournalState,
    now: float,
) -> Iterator[ClaimEffect]:
    for pending in tuple(journal.pending_by_query.values()):
        effect = _decide(state, journal, pending, now)
        if effect is not None:
            journal.pending_by_query.pop(pending.query_id)
            yield effect


def _decide(
    state: ClaimReducerState,
    journal: JournalState,
    pending: PendingClaim,
    now: float,
) -> ClaimEffect | None:
    """Return the effect that decides a claim, or None to write the claim."""
    record = journal.records_by_key.get(pending.key.bytes)
    if record is not None and record.nonce == pending.nonce:
        return _won(state, pending, now)
    if now >= pending.deadline:
        _abandon(state, pending, now)
        return refuse_expired(pending, Verdict.MAY_HAVE_RUN)
    return _compare_with_record(state, pending, record, now) if record else None


def _compare_with_record(
    state: ClaimReducerState,
    pending: PendingClaim,
    record: ClaimRecord,
    now: float,
) -> ClaimEffect | None:
    """Return None when the attempt may replace the stored record."""
    if record.fingerprint != pending.fingerprint:
        _abandon(state, pending, now)
        return refuse_reused(pending)
    if record.nonce == pending.replaceable_nonce:
        return None
    _abandon(state, pending, now)
    pending.replaceable_nonce = record.nonce
    state.awaiting_status_by_query[pending.query_id] = pending
    return QueryClaimStatus(pending.query_id, record.claimer, pending.key)


def _write(
    state: ClaimReducerState,
    journal: JournalState,
    now: float,
) -> Iterator[ClaimEffect]:
    journal.batch = list(journal.pending_by_query.values())
    journal.pending_by_query = {}
    records = journal.records_by_key | {
        pending.key.bytes: _record(state, pending) for pending in journal.batch
    }
    document = encode_journal(records.values())
    if len(document) > MAX_BYTES:
        refused = journal.batch
        journal.batch = []
        for pending in refused:
            _abandon(state, pending, now)
            yield refuse_full(pending)
        return
    journal.busy = True
    yield WriteJournal(journal.name, journal.version or '', document)


def _record(state: ClaimReducerState, pending: PendingClaim) -> ClaimRecord:
    return ClaimRecord(
        pending.key.bytes,
        pending.fingerprint,
        state.incarnation,
        pending.nonce,
    )


def _won(state: ClaimReducerState, pending: PendingClaim, now: float) -> Notify:
    """Permit the request of a stored claim, unless its deadline has passed."""
    state.local_claims.confirm(pending.key.bytes)
    if now >= pending.deadline:
        _abandon(state, pending, now)
        return refuse_expired(pending, Verdict.NOT_RUN)
    permit = SendPermit(pending.key, pending.nonce)
    return Notify(ClaimWon(pending.query_id, permit))


def _abandon(
    state: ClaimReducerState, pending: PendingClaim, now: float
) -> None:
    if state.local_claims.nonce(pending.key.bytes) == pending.nonce:
        state.local_claims.record_outcome(
            pending.key.bytes, ClaimPhase.ABANDONED, now
        )
