"""Tests of the claim coordinator with calls that raise or do not return."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from uuid import UUID

import pytest

from nutmegstep.claims import ClaimCoordinator, ClaimReducerState, ClaimStatus
from nutmegstep.claims.messages import (
    JournalRead,
    JournalReadFailed,
    JournalWritten,
)
from nutmegstep.clock import SystemClock
from nutmegstep.engine.effects import RecordClaimOutcome
from nutmegstep.engine.events import ClaimRefused, ClaimWon
from nutmegstep.model import OneShotRequest
from nutmegstep.verdict import Reason, Verdict
from tests.claims.fakes import ClaimNotice, make_key


class _Store:
    """Journals in memory; one kind of call raises, or all calls block."""

    def __init__(self, raising: str = '') -> None:
        self.raising = raising
        self.stored: dict[str, bytes] = {}
        self.responding = asyncio.Event()
        self.responding.set()

    async def read(self, name: str) -> JournalRead | JournalReadFailed:
        """Return what is stored."""
        await self._answer('read')
        document = self.stored.get(name, b'')
        return JournalRead(name, '1' if document else '', document)

    async def write(
        self, name: str, expected_version: str, document: bytes
    ) -> JournalWritten:
        """Store the journal before the call raises or returns."""
        self.stored[name] = document
        await self._answer('write')
        return JournalWritten(name, '1')

    async def _answer(self, call: str) -> None:
        await self.responding.wait()
        if self.raising == call:
            raise RuntimeError(call)


class _Vm:
    """One coordinator and the events that it delivered."""

    def __init__(
        self,
        store: _Store,
        query: Callable[[int, UUID], Awaitable[ClaimStatus | None]]
        | None = None,
    ) -> None:
        self.events: list[ClaimNotice] = []
        self.clock = SystemClock()
        random = Random(1)
        state = ClaimReducerState(random.getrandbits(64), random)
        self.claims = ClaimCoordinator(
            state, self.clock, store, query or _raise, self.events.append
        )

    def claim(self, key: UUID, query_id: int, seconds: float = 30) -> None:
        """Claim a key."""
        deadline = self.clock.monotonic() + seconds
        request = OneShotRequest('r', 's', 'record', key, b'{}', deadline)
        self.claims.claim(request, query_id)

    async def event(self) -> ClaimNotice:
        """Return the next event."""
        async with asyncio.timeout(30):
            while not self.events:
                await asyncio.sleep(0)
        return self.events.pop(0)


async def _raise(claimer: int, key: UUID) -> ClaimStatus | None:
    raise RuntimeError('status query')


def _key() -> UUID:
    return make_key(SystemClock(), Random(1))


@pytest.mark.parametrize('call', ['read', 'write'])
async def test_call_that_raises_is_a_failed_call(call: str) -> None:
    """Guards against a journal that stays busy after a call raised.

    Later claims in that journal would never be decided.
    """
    store = _Store(call)
    vm = _Vm(store)
    vm.claim(_key(), 1)
    first = await vm.event()
    if call == 'write':
        # Reading the journal again finds the claim, as the write took effect.
        assert isinstance(first, ClaimWon)
    else:
        assert isinstance(first, ClaimRefused)
        assert first.refusal.reason is Reason.CLAIM_UNAVAILABLE
        store.raising = ''
        vm.claim(_key(), 2)
        assert isinstance(await vm.event(), ClaimWon)
    await vm.claims.close()
    assert not vm.events


async def test_claimer_whose_call_raises_is_unknown() -> None:
    """Guards against a request without an event after a failed status query.

    The call to the claimer raises; the status of the claim is then unknown.
    """
    store = _Store()
    first, second = _Vm(store), _Vm(store)
    key = _key()
    first.claim(key, 1)
    assert isinstance(await first.event(), ClaimWon)
    second.claims._state.incarnation += 1
    second.claims._state.random.seed(2)
    second.claim(key, 1)
    refused = await second.event()
    assert isinstance(refused, ClaimRefused)
    assert refused.refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refused.refusal.attempt_verdict is Verdict.NOT_RUN


async def test_claim_decided_after_the_deadline_is_abandoned() -> None:
    """Guards against a permit after the deadline.

    The platform replies only after the deadline of the request has passed.
    """
    store = _Store()
    vm = _Vm(store)
    store.responding.clear()
    vm.claim(_key(), 1, seconds=0.01)
    await asyncio.sleep(0.02)
    store.responding.set()
    refused = await vm.event()
    assert isinstance(refused, ClaimRefused)
    assert refused.refusal.reason is Reason.DEADLINE_EXCEEDED
    assert not vm.events


async def test_repeat_claims_a_key_whose_request_did_not_run() -> None:
    """Guards against repeats that wait for a claim that has ended.

    The coordinator must record the outcome that the engine reports.
    """
    vm = _Vm(_Store())
    key = _key()
    vm.claim(key, 1)
    await vm.event()
    vm.claims.record_claim_outcome(
        RecordClaimOutcome(1, key, None, may_have_run=False)
    )
    vm.claim(key, 2)
    assert isinstance(await vm.event(), ClaimWon)
