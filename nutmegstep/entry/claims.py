"""Exchange of claim states with peers, and deletion of expired journals."""

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

__all__ = ['build_claimer_query', 'claim_report', 'delete_expired']

_RAN_WITHOUT_ANSWER: Final = b''
# Maps each byte to one character, so that a repeated request gets exactly the
# bytes that the target sent. Decoding them as JSON and encoding them again could
# change their numbers.
_RESULT_ENCODING: Final = 'latin-1'

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


def claim_report(status: ClaimStatus) -> ClaimReport:
    """Return the message for the state of a claim of this VM.

    Parameters
    ----------
    status : ClaimStatus
        State of the claim.

    Returns
    -------
    ClaimReport
        The message. For a request that ran and whose answer is no longer
        stored, the state is finished and the answer empty. For a request that
        may have run, the state is finished and the answer None.
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


def build_claimer_query(
    plane: ControlPlane,
) -> Callable[[int, UUID], Awaitable[ClaimStatus | None]]:
    """Return the function that queries the state of a claim at its claimer.

    Parameters
    ----------
    plane : ControlPlane
        Control plane that calls the other entry processes.

    Returns
    -------
    Callable
        Takes the incarnation of the process that made the claim and the key
        of the claim.
    """

    async def query(claimer: int, key: UUID) -> ClaimStatus | None:
        report = await plane.claim_status(claimer, key.bytes)
        return _claim_status_of(report)

    return query


async def delete_expired(
    journals: PlatformJournals,
    clock: Clock,
    is_relay: Callable[[], bool],
) -> None:
    """Delete the journals whose keys have expired, while this VM is a relay.

    Parameters
    ----------
    journals : PlatformJournals
        Journals on the platform.
    clock : Clock
        Clock of the VM.
    is_relay : Callable
        Returns whether this VM is a relay.

    Notes
    -----
    Runs until it is cancelled, once per length of a bucket. All relays delete
    the same journals, which does no harm. The journals of a bucket that no
    relay deletes at its time remain until they are deleted by hand.
    """
    while True:
        await asyncio.sleep(BUCKET.total_seconds())
        if not is_relay():
            continue
        for name in expired_journals(clock.now()):
            await journals.delete(name)


def _claim_status_of(report: ClaimReport) -> ClaimStatus:
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
            'lacking': [[shard.name, shard.reason] for shard in answer.lacking],
            'results': {
                shard: result.decode(_RESULT_ENCODING)
                for shard, result in answer.results_by_shard.items()
            },
        }
    )


def _decode(document: bytes) -> Answer:
    fields = orjson.loads(document)
    return Answer(
        fields['service'],
        fields['index_version'],
        tuple(fields['covered']),
        tuple(LackingShard(*shard) for shard in fields['lacking']),
        {
            shard: result.encode(_RESULT_ENCODING)
            for shard, result in fields['results'].items()
        },
    )
