"""Connects claims to the platform and to the peers."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from types import MappingProxyType
from typing import Final
from uuid import UUID

import orjson

from nutmegstep.claims import ClaimPhase, ClaimStatus
from nutmegstep.claims.keys import BUCKET, expired_journals
from nutmegstep.claims.store import PlatformJournals
from nutmegstep.clock import Clock
from nutmegstep.model import Answer, LackingShard
from nutmegstep.node import ControlPlane
from nutmegstep.peers import ClaimReport, ClaimState

__all__ = ['ask_claimer', 'delete_expired', 'report_of']

_RAN_WITHOUT_ANSWER: Final = b''
# One character for each byte: a repeat gets exactly the bytes of the target,
# whose numbers another encoder could change.
_BYTES: Final = 'latin-1'

_STATE_BY_PHASE: Final = MappingProxyType(
    {
        ClaimPhase.UNKNOWN: ClaimState.UNKNOWN,
        ClaimPhase.RUNNING: ClaimState.RUNNING,
        ClaimPhase.FINISHED: ClaimState.FINISHED,
        ClaimPhase.MAY_HAVE_RUN: ClaimState.FINISHED,
        ClaimPhase.ABANDONED: ClaimState.ABANDONED,
    }
)

_PHASE_BY_STATE: Final = MappingProxyType(
    {
        ClaimState.RUNNING: ClaimPhase.RUNNING,
        ClaimState.ABANDONED: ClaimPhase.ABANDONED,
    }
)


def report_of(status: ClaimStatus) -> ClaimReport:
    """Return the message for a status.

    Notes
    -----
    A finished claim without an answer means that the request may have run;
    an empty answer means that it ran and the answer is no longer stored.
    """
    document = None
    if status.phase is ClaimPhase.FINISHED:
        document = _RAN_WITHOUT_ANSWER
    if status.answer is not None:
        document = _encode(status.answer)
    return ClaimReport(
        _STATE_BY_PHASE[status.phase],
        document,
        timedelta(seconds=status.abandoned_age_s),
    )


def ask_claimer(
    plane: ControlPlane,
) -> Callable[[int, UUID], Awaitable[ClaimStatus | None]]:
    """Return the function that asks another entry process."""

    async def ask(claimer: int, key: UUID) -> ClaimStatus | None:
        report = await plane.claim_status(claimer, key.bytes)
        return _status_of(report)

    return ask


async def delete_expired(
    journals: PlatformJournals,
    clock: Clock,
    is_relay: Callable[[], bool],
) -> None:
    """Delete the journals whose keys are no longer accepted.

    Notes
    -----
    Each relay of a failure domain does this once per bucket; deleting twice
    does no harm, and a missed bucket stays until somebody deletes it.
    """
    while True:
        await asyncio.sleep(BUCKET.total_seconds())
        if not is_relay():
            continue
        for name in expired_journals(clock.now()):
            await journals.delete(name)


def _status_of(report: ClaimReport) -> ClaimStatus:
    if report.state is ClaimState.FINISHED:
        return _finished(report.answer)
    phase = _PHASE_BY_STATE.get(report.state, ClaimPhase.UNKNOWN)
    age = report.abandoned_age.total_seconds()
    return ClaimStatus(phase, abandoned_age_s=age)


def _finished(document: bytes | None) -> ClaimStatus:
    if document is None:
        return ClaimStatus(ClaimPhase.MAY_HAVE_RUN)
    answer = None if document == _RAN_WITHOUT_ANSWER else _decode(document)
    return ClaimStatus(ClaimPhase.FINISHED, answer)


def _encode(answer: Answer) -> bytes:
    return orjson.dumps(
        {
            'service': answer.service,
            'index_version': answer.index_version,
            'covered': answer.covered,
            'lacking': [[lack.name, lack.reason] for lack in answer.lacking],
            'results': {
                shard: found.decode(_BYTES)
                for shard, found in answer.results_by_shard.items()
            },
        }
    )


def _decode(document: bytes) -> Answer:
    fields = orjson.loads(document)
    return Answer(
        fields['service'],
        fields['index_version'],
        tuple(fields['covered']),
        tuple(LackingShard(*lack) for lack in fields['lacking']),
        {
            shard: found.encode(_BYTES)
            for shard, found in fields['results'].items()
        },
    )
