"""Simulated deployment: engines of entry processes with fake targets.

The network is not modelled. The effect of an engine becomes an event after a
latency that the scenario sets.
"""

import heapq
from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random

import orjson

from nutmegstep.claims.messages import ClaimEffect, ClaimOutcomeKnown, WakeAt
from nutmegstep.engine import EngineState, reduce
from nutmegstep.engine.effects import (
    CancelAttempt,
    CancelTimer,
    Effect,
    FinishDrain,
    RecordClaimOutcome,
    ReplyAnswer,
    ReplyRefusal,
    RequestClaim,
    SendToTarget,
    SetTimer,
)
from nutmegstep.engine.events import (
    Event,
    FailureKind,
    OneShotArrived,
    QueryArrived,
    TargetConnectionsClosed,
    TargetConnectionsLost,
    TargetFailed,
    TimerFired,
    TimerKey,
)
from nutmegstep.model import (
    Answer,
    Fleet,
    IdempotentQuery,
    OneShotRequest,
)
from nutmegstep.verdict import Refusal
from tests.claims.fakes import ClaimNotice, Cluster, make_key
from tests.scenarios.layout import Layout, make_fleet, make_targets
from tests.scenarios.records import CallerRequest, Vm
from tests.scenarios.targets import FakeTarget, Outcome

__all__ = ['World']

_PLATFORM_CALL_SECONDS = 0.003


class World:
    """Runs the engines on a manual clock and records every message."""

    def __init__(self, layout: Layout, seed: int = 1) -> None:
        self.layout = layout
        self.cluster = Cluster(Random(seed))
        self.cluster.deliver = self._deliver_claim
        self.clock = self.cluster.clock
        self.transcript: list[str] = []
        self.caller_requests_by_name: dict[str, CallerRequest] = {}
        self.generation = 0
        self.targets_by_name = {
            target.name: target for target in make_targets(layout)
        }
        self.vms_by_name = {
            vm.name: vm for vm in map(self._make_vm, range(layout.vms))
        }
        self.sent = 0
        self.sends_by_query: dict[tuple[str, int], list[SendToTarget]] = {}
        self.new_sends: list[tuple[float, str, SendToTarget]] = []
        self.new_replies: list[tuple[CallerRequest, Answer | Refusal]] = []
        self.shards_by_version: dict[int, set[str]] = {}
        self.withdrawn_by_vm: dict[str, frozenset[str]] = {}
        self.draining_by_vm: dict[str, frozenset[str]] = {}
        self.withdrawn_at: dict[tuple[str, str], float] = {}
        self.draining_at: dict[tuple[str, str], float] = {}
        self.generation_by_vm: dict[str, int] = {}
        self.executions_at_reply: dict[str, int] = {}
        self.lease_expiry_by_vm: dict[str, float] = {}
        self._query_by_name: dict[str, int] = {}
        self._caller_request_by_query: dict[tuple[str, int], CallerRequest] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._cancelled: set[tuple[str, int]] = set()
        self._unconnected: set[tuple[str, str]] = set()
        self._stale_connections: set[tuple[str, str]] = set()
        self._target_by_attempt: dict[tuple[str, int], str] = {}
        self._timers: dict[tuple[str, TimerKey], int] = {}
        self._last_query_id = 0

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.clock.monotonic()

    def fleet(self) -> Fleet:
        """Return the configuration under the next generation number."""
        self.generation += 1
        fakes = self.targets_by_name.values()
        return make_fleet(self.layout, fakes, self.generation)

    def send_query(
        self,
        name: str,
        vm: str,
        timeout: float = 1,
        record: str | None = None,
        text: str | None = None,
    ) -> None:
        """Send an idempotent query or look-up to a VM."""
        query_id = self._register(name, vm, text or name)
        caller_request = self.caller_requests_by_name[name]
        caller_request.record = record
        query = IdempotentQuery(
            name,
            'records',
            caller_request.body,
            self.now + timeout,
            record,
        )
        self.note(f'caller -> {vm}: query {name}')
        self.dispatch(vm, QueryArrived(query_id, query))

    def send_one_shot(
        self,
        name: str,
        vm: str,
        timeout: float = 1,
        repeat_of: str | None = None,
    ) -> None:
        """Send a one-shot request, or a repeat of an earlier one."""
        first = self.caller_requests_by_name[repeat_of] if repeat_of else None
        query_id = self._register(name, vm, first.name if first else name)
        caller_request = self.caller_requests_by_name[name]
        caller_request.key = (
            first.key if first else make_key(self.clock, self.cluster.random)
        )
        assert caller_request.key is not None
        if first:
            caller_request.body = first.body
        request = OneShotRequest(
            name,
            'records',
            'record-1',
            caller_request.key,
            caller_request.body,
            self.now + timeout,
        )
        self.vms_by_name[vm].requests_by_query[query_id] = request
        self.note(f'caller -> {vm}: one-shot {name}')
        self.dispatch(vm, OneShotArrived(query_id, request))

    def query_id(self, name: str) -> int:
        """Return the query identifier of a request in the engine of its VM."""
        return self._query_by_name[name]

    def caller_request_of(self, vm: str, query_id: int) -> CallerRequest:
        """Return the caller's request behind a query of an engine."""
        return self._caller_request_by_query[(vm, query_id)]

    def executions(self, body: bytes) -> int:
        """Return how often targets executed a request body, with repeats."""
        return sum(
            target.executions_by_body[body]
            for target in self.targets_by_name.values()
        )

    def note(self, line: str) -> None:
        """Add a line to the transcript."""
        self.transcript.append(f'{self.now * 1000:9.1f} ms  {line}')

    def dispatch(self, vm_name: str, event: Event) -> None:
        """Deliver an event, or defer it while the VM is paused."""
        vm = self.vms_by_name.get(vm_name)
        if vm is None:
            return
        if vm.paused:
            vm.deferred_events.append(event)
            return
        if isinstance(event, TargetConnectionsLost):
            self._stale_connections.discard((vm_name, event.target))
        for effect in reduce(vm.engine, event, self.now):
            self._perform(vm, effect)

    def run_until(self, instant: float, check: Callable[[], None]) -> None:
        """Deliver the events due until an instant, with a check after each."""
        while self._queue and self._queue[0][0] <= instant:
            due, _, action = heapq.heappop(self._queue)
            self.clock.advance(max(0, due - self.now))
            action()
            check()
        self.clock.advance(max(0, instant - self.now))
        check()

    def later(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        entry = (self.now + delay, next(self._order), action)
        heapq.heappush(self._queue, entry)

    def pause(self, vm_name: str) -> None:
        """Pause a VM; events that arrive meanwhile are handled on `resume`."""
        vm = self.vms_by_name[vm_name]
        vm.paused = True
        self.cluster.paused.add(vm.incarnation)

    def resume(self, vm_name: str) -> None:
        """Resume a paused VM and deliver its deferred events."""
        vm = self.vms_by_name[vm_name]
        vm.paused = False
        self.cluster.resume(vm.incarnation)
        self._schedule_calls()
        deferred_events = vm.deferred_events
        vm.deferred_events = []
        for event in deferred_events:
            self.dispatch(vm_name, event)

    def lose(self, vm_name: str) -> None:
        """Remove a VM without notice; its connections close."""
        vm = self.vms_by_name.pop(vm_name)
        self.cluster.vms_by_name.pop(vm.incarnation)
        for target in self.targets_by_name.values():
            target.in_flight = {
                attempt for attempt in target.in_flight if attempt[0] != vm_name
            }
        for caller_request in self.caller_requests_by_name.values():
            caller_request.gone = (
                caller_request.gone or caller_request.vm == vm_name
            )

    def restart(self, name: str) -> None:
        """Restart a target; its connections to all VMs close at once."""
        target = self.targets_by_name[name]
        target.boot_count += 1
        interrupted = sorted(target.in_flight)
        target.in_flight.clear()
        self._cancelled.update(interrupted)
        for vm in tuple(self.vms_by_name):
            self.lose_connections(vm, name)
        for vm, attempt_id in interrupted:
            self.note(f'{name} -> {vm}: reset #{attempt_id}')
            reset = TargetFailed(attempt_id, FailureKind.RESET, True)
            self.dispatch(vm, reset)

    def lose_connections(self, vm: str, target: str) -> None:
        """Close the connections of a VM from the target's side."""
        if (vm, target) not in self._unconnected:
            self._unconnected.add((vm, target))
            # A VM that has not handled the loss yet, because it is paused,
            # may still write to the closed connection.
            self._stale_connections.add((vm, target))
            self.note(f'{target} -> {vm}: connections lost')
            self.dispatch(vm, TargetConnectionsLost(target))

    def close_idle(self, vm: str, target: str) -> None:
        """Let a VM close its last idle connection to a target."""
        self._unconnected.add((vm, target))
        self.dispatch(vm, TargetConnectionsClosed(target))

    def _make_vm(self, number: int) -> Vm:
        engine = EngineState(f'domain-{number % 2}', Random(number))
        return Vm(f'vm{number}', engine, self.cluster.start_vm())

    def _register(self, name: str, vm: str, text: str) -> int:
        self._last_query_id += 1
        caller_request = CallerRequest(
            name, vm, self.now, body=orjson.dumps({'text': text})
        )
        self.caller_requests_by_name[name] = caller_request
        self._query_by_name[name] = self._last_query_id
        self._caller_request_by_query[(vm, self._last_query_id)] = (
            caller_request
        )
        return self._last_query_id

    def _perform(self, vm: Vm, effect: Effect) -> None:
        match effect:
            case SendToTarget():
                self._send(vm, effect)
            case CancelAttempt():
                self._cancel(vm, effect.attempt_id)
            case SetTimer():
                self._set_timer(vm, effect)
            case CancelTimer():
                self._timers.pop((vm.name, effect.timer), None)
            case RequestClaim() | RecordClaimOutcome():
                self._claim(vm, effect)
            case ReplyAnswer() | ReplyRefusal():
                self._reply(vm, effect)
            case _:
                vm.drained = vm.drained or isinstance(effect, FinishDrain)
                self.note(f'{vm.name}: {effect}')

    def _claim(self, vm: Vm, effect: RequestClaim | RecordClaimOutcome) -> None:
        if isinstance(effect, RequestClaim):
            self.cluster.request_claim(
                vm.incarnation,
                vm.requests_by_query[effect.query_id],
                effect.query_id,
            )
        else:
            settled = ClaimOutcomeKnown(
                effect.idempotency_key,
                effect.answer,
                effect.may_have_run,
            )
            self.cluster.settle(vm.incarnation, settled)
        self._schedule_calls()

    def _send(self, vm: Vm, effect: SendToTarget) -> None:
        self.sent += 1
        self.new_sends.append((self.now, vm.name, effect))
        query = (vm.name, effect.query_id)
        self.sends_by_query.setdefault(query, []).append(effect)
        self.note(
            f'{vm.name} -> {effect.target}: {effect.shard} '
            f'version {effect.index_version} #{effect.attempt_id}',
        )
        attempt = (vm.name, effect.attempt_id)
        target = self.targets_by_name[effect.target]
        if target.behaviour != 'connect':
            self._unconnected.discard((vm.name, target.name))
        self._target_by_attempt[attempt] = target.name
        outcome = self._receive(vm, target, effect)
        if outcome is not None:
            crossed = target.behaviour == 'crossed'
            self.later(
                target.latency,
                lambda: self._arrive(attempt, outcome, crossed=crossed),
            )

    def _receive(
        self,
        vm: Vm,
        target: FakeTarget,
        effect: SendToTarget,
    ) -> Outcome | None:
        if (vm.name, target.name) in self._stale_connections:
            return TargetFailed(effect.attempt_id, FailureKind.RESET, True)
        return target.receive(vm.name, effect)

    def _arrive(
        self,
        attempt: tuple[str, int],
        outcome: Event,
        *,
        crossed: bool,
    ) -> None:
        vm_name, attempt_id = attempt
        target = self._target_by_attempt[attempt]
        self.targets_by_name[target].finish(vm_name, attempt_id)
        if attempt in self._cancelled and not crossed:
            return
        kind = type(outcome).__name__
        if _is_refused_connect(outcome):
            self.dispatch(vm_name, TargetConnectionsLost(target))
        self.note(f'{target} -> {vm_name}: {kind} #{attempt_id}')
        self.dispatch(vm_name, outcome)

    def _cancel(self, vm: Vm, attempt_id: int) -> None:
        attempt = (vm.name, attempt_id)
        target = self._target_by_attempt[attempt]
        self.note(f'{vm.name} -> {target}: close #{attempt_id}')
        self._cancelled.add(attempt)
        self.targets_by_name[target].finish(vm.name, attempt_id)

    def _set_timer(self, vm: Vm, effect: SetTimer) -> None:
        order = next(self._order)
        self._timers[(vm.name, effect.timer)] = order

        def fire() -> None:
            if self._timers.get((vm.name, effect.timer)) == order:
                self._timers.pop((vm.name, effect.timer))
                self.dispatch(vm.name, TimerFired(effect.timer))

        self.later(max(0, effect.at - self.now), fire)

    def _reply(self, vm: Vm, effect: ReplyAnswer | ReplyRefusal) -> None:
        caller_request = self._caller_request_by_query[
            (vm.name, effect.query_id)
        ]
        reply: Answer | Refusal = (
            effect.answer if isinstance(effect, ReplyAnswer) else effect.refusal
        )
        caller_request.reply = reply
        caller_request.replied = self.now
        self.new_replies.append((caller_request, reply))
        self.executions_at_reply[caller_request.name] = self.executions(
            caller_request.body
        )
        text = (
            f'answer version {reply.index_version} covers {len(reply.covered)}'
            if isinstance(reply, Answer)
            else f'refused {reply.reason.value}, {reply.verdict.value}'
        )
        self.note(f'{vm.name} -> caller: {caller_request.name} {text}')

    def _deliver_claim(self, incarnation: int, event: ClaimNotice) -> None:
        vm = next(
            known
            for known in self.vms_by_name.values()
            if known.incarnation == incarnation
        )
        self.note(f'{vm.name}: {type(event).__name__}')
        self.dispatch(vm.name, event)

    def _schedule_calls(self) -> None:
        calls = self.cluster.calls
        self.cluster.calls = []
        for vm, effect in calls:
            delay = _PLATFORM_CALL_SECONDS
            if isinstance(effect, WakeAt):
                delay = max(0, effect.at - self.now)
            self.later(delay, partial(self._finish_call, vm, effect))

    def _finish_call(self, vm: int, effect: ClaimEffect) -> None:
        self.cluster.perform(vm, effect)
        self._schedule_calls()


def _is_refused_connect(outcome: Event) -> bool:
    return (
        isinstance(outcome, TargetFailed)
        and outcome.kind is FailureKind.CONNECT
    )
