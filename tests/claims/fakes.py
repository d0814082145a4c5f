"""Simulated VMs that claim keys at a simulated platform, step by step."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from uuid import UUID

from nutmegstep.claims.core import reduce_claims
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
    WriteJournal,
)
from nutmegstep.claims.state import ClaimReducerState
from nutmegstep.clock import ManualClock
from nutmegstep.engine.events import ClaimRefused, ClaimWon, StoredAnswerFound
from nutmegstep.model import OneShotRequest

__all__ = ['ClaimNotice', 'Cluster', 'make_key']

_CALL_SECONDS = 0.003

ClaimNotice = ClaimWon | StoredAnswerFound | ClaimRefused


def make_key(clock: ManualClock, random: Random) -> UUID:
    """Return a UUID version 7 with the time of the clock as timestamp."""
    milliseconds = int(clock.now().timestamp() * 1000)
    bits = milliseconds << 80 | 7 << 76 | random.getrandbits(12) << 64
    return UUID(int=bits | 2 << 62 | random.getrandbits(62))


@dataclass
class Cluster:
    """VMs, the platform's journals and the calls in flight.

    Attributes
    ----------
    random : random.Random
        Source of incarnations and nonces.
    clock : ManualClock
        Clock of all VMs.
    vms_by_name : dict
        State of each running VM by its incarnation.
    stored_by_name : dict
        Version and content of each journal at the platform.
    calls : list
        Calls in flight, each with the VM that started it.
    won, replayed, refused : list
        Events that the VMs delivered to their engines.
    revision : int
        Number of journal writes that took effect.
    deliver : Callable or None
        Called with each delivered event, in place of the lists.
    paused : set of int
        VMs that handle no events.
    held_back : list
        Events that arrived at a paused VM.
    platform_down : bool
        Whether every call of the platform fails.
    lost_answers : int
        Number of next writes that take effect and whose reply is lost.
    """

    random: Random
    clock: ManualClock = field(default_factory=ManualClock)
    vms_by_name: dict[int, ClaimReducerState] = field(default_factory=dict)
    stored_by_name: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    calls: list[tuple[int, ClaimEffect]] = field(default_factory=list)
    won: list[tuple[int, ClaimWon]] = field(default_factory=list)
    replayed: list[StoredAnswerFound] = field(default_factory=list)
    refused: list[ClaimRefused] = field(default_factory=list)
    revision: int = 0
    deliver: Callable[[int, ClaimNotice], None] | None = None
    paused: set[int] = field(default_factory=set)
    held_back: list[tuple[int, ClaimEvent]] = field(default_factory=list)
    platform_down: bool = False
    lost_answers: int = 0

    def start_vm(self) -> int:
        """Start a VM and return its incarnation."""
        incarnation = self.random.getrandbits(64)
        self.vms_by_name[incarnation] = ClaimReducerState(
            incarnation, self.random
        )
        return incarnation

    def request(
        self,
        vm: int,
        key: UUID,
        query_id: int,
        timeout: float = 1,
        body: bytes = b'{}',
    ) -> None:
        """Let a VM claim a key for a request that it builds."""
        now = self.clock.monotonic()
        request = OneShotRequest(
            'r',
            'desk',
            'record',
            key,
            body,
            now + timeout,
        )
        self.request_claim(vm, request, query_id)

    def request_claim(
        self,
        vm: int,
        request: OneShotRequest,
        query_id: int,
    ) -> None:
        """Let a VM claim the key of a request."""
        self.dispatch(vm, ClaimRequested(query_id, request, self.clock.now()))

    def settle(self, vm: int, event: ClaimOutcomeKnown) -> None:
        """Tell a VM how the request of its won claim ended."""
        self.dispatch(vm, event)

    def dispatch(self, vm: int, event: ClaimEvent) -> None:
        """Apply an event and add the effects to the calls in flight."""
        if vm in self.paused:
            self.held_back.append((vm, event))
            return
        state = self.vms_by_name.get(vm)
        if state is None:
            return
        now = self.clock.monotonic()
        for effect in reduce_claims(state, event, now):
            if isinstance(effect, Notify):
                self._deliver(vm, effect)
            else:
                self.calls.append((vm, effect))

    def run(self) -> None:
        """Finish the calls in flight in order until none is left."""
        while self.calls:
            self.step(0)

    def step(self, position: int) -> None:
        """Advance the clock by the duration of a call, and finish it."""
        vm, effect = self.calls.pop(position)
        self.clock.advance(_CALL_SECONDS)
        if isinstance(effect, WakeAt):
            self.clock.advance(max(0, effect.at - self.clock.monotonic()))
        self.perform(vm, effect)

    def perform(self, vm: int, effect: ClaimEffect) -> None:
        """Perform a call and dispatch its outcome."""
        if isinstance(effect, WakeAt):
            self.dispatch(vm, Woken())
        elif isinstance(effect, QueryClaimStatus):
            self.dispatch(vm, self._query_status(effect))
        elif isinstance(effect, ReadJournal):
            self.dispatch(vm, self._read(effect))
        elif isinstance(effect, WriteJournal):
            self.dispatch(vm, self._write(effect))

    def resume(self, vm: int) -> None:
        """Resume a paused VM and let it handle the events held back."""
        self.paused.discard(vm)
        held_back = self.held_back
        self.held_back = []
        for owner, event in held_back:
            self.dispatch(owner, event)

    def _deliver(self, vm: int, effect: Notify) -> None:
        if self.deliver:
            self.deliver(vm, effect.event)
        elif isinstance(effect.event, ClaimWon):
            self.won.append((vm, effect.event))
        elif isinstance(effect.event, StoredAnswerFound):
            self.replayed.append(effect.event)
        else:
            self.refused.append(effect.event)

    def _query_status(self, effect: QueryClaimStatus) -> ClaimStatusReceived:
        claimer = self.vms_by_name.get(effect.claimer)
        if claimer is None or effect.claimer in self.paused:
            return ClaimStatusReceived(effect.query_id, None)
        now = self.clock.monotonic()
        status = claimer.local_claims.status(effect.key.bytes, now)
        return ClaimStatusReceived(effect.query_id, status)

    def _read(self, effect: ReadJournal) -> JournalRead | JournalReadFailed:
        if self.platform_down:
            return JournalReadFailed(effect.name)
        version, document = self.stored_by_name.get(effect.name, (0, b''))
        return JournalRead(effect.name, _version_text(version), document)

    def _write(self, effect: WriteJournal) -> ClaimEvent:
        if self.platform_down:
            return JournalWriteUnknown(effect.name)
        version, _ = self.stored_by_name.get(effect.name, (0, b''))
        if effect.expected_version != _version_text(version):
            return JournalConflict(effect.name)
        self.revision += 1
        self.stored_by_name[effect.name] = (self.revision, effect.document)
        if self.lost_answers:
            self.lost_answers -= 1
            return JournalWriteUnknown(effect.name)
        return JournalWritten(effect.name, str(self.revision))


def _version_text(version: int) -> str:
    return str(version) if version else ''
