"""Fleet whose targets crash when they run one of the requests.

Callers send that request again and again to any VM, beside others that run. A
crashed target refuses connections until its announcement ends, and is replaced
by another one.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count
from random import Random
from typing import Final

from nutmegstep.dispatch import DispatchState, reduce_event
from nutmegstep.dispatch.control_events import (
    CrashDeleted,
    CrashesListed,
    CrashRecord,
    CrashStored,
    HousekeepingDue,
    TargetAnnounced,
    TargetChecked,
    TargetRemoved,
)
from nutmegstep.dispatch.effects import (
    CancelSend,
    CheckTarget,
    DeclineDelegation,
    DeleteCrash,
    DeliverMerged,
    DeliverRefusal,
    DeliverReply,
    PublishCrash,
    SendRequest,
    WakeAt,
)
from nutmegstep.dispatch.events import (
    Event,
    RequestArrived,
    RequestDue,
    SendFailed,
    SendFailureKind,
    TargetReplied,
)
from nutmegstep.verdict import Reason
from tests.dispatch.conftest import records, reply
from tests.dispatch.crashing import make_request
from tests.dispatch.fleet import Timeline, entries_of_vms, start_vm

__all__ = ['CrashingFleet']

_ADAPT_SECONDS: Final = 4.0
"""Time after the third crash from which further sends count."""
_CRASHES: Final = 3
_CRASH_SECONDS: Final = 0.05
_LEASE_SECONDS: Final = 3.0
"""Time after a crash at which the announcement of a target ends."""
_REPLACE_SECONDS: Final = 4.0
_HOUSEKEEPING_SECONDS: Final = 0.5
_START: Final = 100.0


@dataclass
class CrashingFleet:
    """VMs with the real reducer, and targets that a request crashes.

    Parameters
    ----------
    vms : int
        Number of VMs.
    path : str
        Path of the request that crashes targets.
    store_seconds : float
        Time from the write of a record until all VMs have read it.
    other_paths : tuple of str
        Paths of the requests that run.
    run_seconds : float
        Time in which a target runs one of them.
    """

    vms: int
    path: str
    store_seconds: float = 1.0
    other_paths: tuple[str, ...] = tuple(f'/sweep/{one}' for one in range(20))
    run_seconds: float = 0.02
    random: Random = field(default_factory=lambda: Random(1))
    sent: list[tuple[float, int, int]] = field(default_factory=list)
    crashed_at: list[float] = field(default_factory=list)
    refused_paths: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._ids = count(1)
        self.timeline = Timeline(_START)
        self._sends_by_target: dict[str, list[tuple[int, SendRequest]]] = {}
        self._target_by_id = dict(records())
        self._crashed: set[str] = set()
        self._stored: set[CrashRecord] = set()
        self._path_by_request: dict[int, str] = {}
        self._entries = entries_of_vms(self.vms)
        self.states = [self._build(name) for name in self._entries]
        self.timeline.later(_HOUSEKEEPING_SECONDS, self._keep_house)

    @property
    def waiting(self) -> int:
        """Number of requests without an answer."""
        return len(self._path_by_request)

    def run(
        self, seconds: float, per_second: float, others_per_second: float = 0
    ) -> None:
        """Let callers send the request, and others, at mean rates."""
        ends = self.timeline.now + seconds
        arrival = self.timeline.now
        rate = per_second + others_per_second
        while arrival < ends:
            arrival += self.random.expovariate(rate)
            self.timeline.run_until(arrival)
            path = self.path
            if self.random.random() * rate >= per_second:
                path = self.random.choice(self.other_paths)
            self.request(self.random.randrange(self.vms), path)
        self.timeline.run_until(ends + _HOUSEKEEPING_SECONDS)

    def restart(self, vm: int) -> None:
        """Replace the state of a VM with that of a new process."""
        self.states[vm] = self._build(tuple(self._entries)[vm])

    def counted_retries(self) -> int:
        """Return the number of retries later than the bound allows.

        On a route to a single target each send counts, on one to many shards
        each attempt, whose sends to the shards are one retry.
        """
        if len(self.crashed_at) < _CRASHES:
            return 0
        begins = sorted(self.crashed_at)[_CRASHES - 1] + _ADAPT_SECONDS
        late = [one for one in self.sent if one[0] > begins]
        if self.path.startswith('/sweep/'):
            return len({request_id for _, request_id, _ in late})
        return len(late)

    def attempts_before(self, instant: float) -> int:
        """Return how many attempts had reached targets by then."""
        return len({one for at, one, _ in self.sent if at <= instant})

    def cut_power(self, failure_domain: str) -> None:
        """Crash all targets of a failure domain, whatever they run."""
        for target_id, target in tuple(self._target_by_id.items()):
            if target.failure_domain == failure_domain:
                self._crash(target_id)

    def end_services(self, seconds: float, *services: str) -> None:
        """Crash all targets of services, whatever they run, one after the other.

        Without any service given, those of all services crash.
        """
        ended = [
            target_id
            for target_id, target in self._target_by_id.items()
            if not services or target.service in services
        ]
        for number, target_id in enumerate(ended):
            self.timeline.later(
                seconds * number / len(ended),
                partial(self._crash, target_id),
            )

    def is_any_suspected(self) -> bool:
        """Return whether a VM holds a crash against any content."""
        return not all(state.crashes.is_empty for state in self.states)

    def request(self, vm: int, path: str) -> None:
        """Let a caller send a request."""
        request = make_request(next(self._ids), path, self.timeline.now)
        self._path_by_request[request.request_id] = path
        self._apply(vm, RequestArrived(request))

    def store(self, record: CrashRecord) -> None:
        """Let all VMs read a new crash record in the store."""
        self._stored.add(record)
        self._apply_to_all(CrashStored(record))

    def _build(self, name: str) -> DispatchState:
        state = start_vm(
            name, self._entries, dict(self._target_by_id), self.timeline.now
        )
        listed = CrashesListed(frozenset(self._stored))
        reduce_event(state, listed, self.timeline.now)
        return state

    def _keep_house(self) -> None:
        self._apply_to_all(HousekeepingDue())
        self.timeline.later(_HOUSEKEEPING_SECONDS, self._keep_house)

    def _apply_to_all(self, event: Event) -> None:
        for vm in range(self.vms):
            self._apply(vm, event)

    def _apply_later(self, seconds: float, vm: int, event: Event) -> None:
        self.timeline.later(seconds, lambda: self._apply(vm, event))

    def _apply(self, vm: int, event: Event) -> None:
        for effect in reduce_event(self.states[vm], event, self.timeline.now):
            perform = self._perform_by_effect().get(type(effect))
            if perform is not None:
                perform(vm, effect)

    def _perform_by_effect(self) -> dict[type, Callable[..., None]]:
        return {
            SendRequest: self._send,
            CancelSend: self._cancel,
            CheckTarget: self._check,
            WakeAt: self._wake,
            PublishCrash: self._publish,
            DeleteCrash: self._delete,
            DeclineDelegation: self._end,
            DeliverMerged: self._end,
            DeliverReply: self._end,
            DeliverRefusal: self._end,
        }

    def _check(self, vm: int, effect: CheckTarget) -> None:
        target_id = effect.target.target_id
        is_listening = target_id not in self._crashed
        self._apply_later(0.001, vm, TargetChecked(target_id, is_listening))

    def _wake(self, vm: int, effect: WakeAt) -> None:
        seconds = max(0, effect.instant - self.timeline.now)
        self._apply_later(seconds, vm, RequestDue(effect.request_id))

    def _publish(self, _vm: int, effect: PublishCrash) -> None:
        self._stored.add(effect.record)
        stored = CrashStored(effect.record)
        self.timeline.later(
            self.store_seconds, lambda: self._apply_to_all(stored)
        )

    def _delete(self, _vm: int, effect: DeleteCrash) -> None:
        self._stored.discard(effect.record)
        deleted = CrashDeleted(effect.record)
        self.timeline.later(
            self.store_seconds, lambda: self._apply_to_all(deleted)
        )

    def _end(
        self,
        _vm: int,
        effect: DeclineDelegation
        | DeliverMerged
        | DeliverReply
        | DeliverRefusal,
    ) -> None:
        path = self._path_by_request.pop(effect.request_id)
        if isinstance(effect, DeliverRefusal):
            if effect.refusal.reason is Reason.CRASHES_TARGETS:
                self.refused_paths.append(path)

    def _send(self, vm: int, effect: SendRequest) -> None:
        target_id = effect.target.target_id
        if target_id in self._crashed:
            refused = SendFailed(effect.send_id, SendFailureKind.CONNECT)
            self._apply_later(0.001, vm, refused)
            return
        sends = self._sends_by_target.setdefault(target_id, [])
        sends.append((vm, effect))
        if effect.request.path == self.path:
            request_id = effect.request.request_id
            self.sent.append((self.timeline.now, request_id, effect.send_id))
            self.timeline.later(_CRASH_SECONDS, lambda: self._crash(target_id))
        else:
            reply_later = partial(self._reply, vm, effect)
            self.timeline.later(self.run_seconds, reply_later)

    def _reply(self, vm: int, effect: SendRequest) -> None:
        sends = self._sends_by_target.get(effect.target.target_id, [])
        if (vm, effect) in sends:
            sends.remove((vm, effect))
            self._apply(vm, TargetReplied(effect.send_id, reply(b'r' * 16)))

    def _cancel(self, vm: int, effect: CancelSend) -> None:
        # The target goes on with what it has begun to run.
        cancelled = SendFailed(effect.send_id, SendFailureKind.CANCELLED)
        self._apply_later(0, vm, cancelled)

    def _crash(self, target_id: str) -> None:
        if target_id in self._crashed:
            return
        self.crashed_at.append(self.timeline.now)
        self._crashed.add(target_id)
        self.timeline.later(_LEASE_SECONDS, lambda: self._end_lease(target_id))
        self.timeline.later(_REPLACE_SECONDS, lambda: self._replace(target_id))
        for vm, effect in self._sends_by_target.pop(target_id, ()):
            failed = SendFailed(effect.send_id, SendFailureKind.NO_RESPONSE)
            self._apply(vm, failed)

    def _end_lease(self, target_id: str) -> None:
        self._apply_to_all(TargetRemoved(target_id))

    def _replace(self, target_id: str) -> None:
        ended = self._target_by_id.pop(target_id)
        name = f'{ended.service}-{next(self._ids)}'
        started = replace(ended, target_id=name, started_ms=next(self._ids))
        self._target_by_id[name] = started
        self._apply_to_all(TargetAnnounced(started))
