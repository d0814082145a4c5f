"""A fleet of dispatchers, a store and targets of two versions, without a network."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from typing import Any, Final

import orjson

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch import DispatchState, reduce_event
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    HousekeepingDue,
    TargetsListed,
    VmsCounted,
)
from nutmegstep.dispatch.effects import (
    CancelSend,
    Decision,
    SendMessage,
    SendRequest,
    WakeAt,
    WriteRollout,
)
from nutmegstep.dispatch.events import (
    Event,
    RequestArrived,
    RequestDue,
    RoutedRequest,
    SendFailed,
    SendFailureKind,
    TargetReplied,
)
from nutmegstep.dispatch.rollout_events import RolloutsListed, RolloutStored
from nutmegstep.dispatch.rollout_record import Rollout
from nutmegstep.gateway.rollout_store import read_directive, read_report
from nutmegstep.rollouts import ExposureLimits, Outcome, RolloutOrder
from nutmegstep.rollouts.messages import KIND_REPORT
from tests.dispatch.conftest import HOST, LIMITS, configuration, records, reply
from tests.dispatch.fleet import Timeline

SERVICE: Final = 'orders'
DURATION: Final = 12.0
START: Final = 100.0
_DOMAINS: Final = ('north', 'south', 'west')
_LIMITS: Final = replace(LIMITS, exposure=ExposureLimits(0.1, 50))
_LATENCY: Final = 0.05
_OLD_BAD_SHARE: Final = 0.04
_DARK_TIMEOUT_SHARE: Final = 0.5
"""Share of the sends to dark targets that are written before nothing answers."""


def targets_of(
    version: str, cold_until: float = 0, service: str = SERVICE
) -> dict[str, TargetRecord]:
    """Return three targets of a service that run a version."""
    return {
        f'{name}-{version}': replace(
            one,
            target_id=f'{name}-{version}',
            version=version,
            cold_until=cold_until,
        )
        for name, one in records().items()
        if one.service == service
    }


@dataclass(slots=True)
class Behaviour:
    """How the targets of the new version answer.

    Parameters
    ----------
    bad_share : float
        Share of bad answers.
    slow : bool
        Whether bad answers are slow rather than failures.
    since : float
        Seconds after the order from which answers are bad.
    only_target : str
        Target whose answers are bad; empty for all.
    """

    bad_share: float = 0
    slow: bool = False
    since: float = 0
    only_target: str = ''


class Fleet:
    """VMs that serve one service while a version of it is rolled out."""

    def __init__(
        self,
        vms: int,
        rate: float,
        behaviour: Behaviour,
        seed: int,
        service: str = SERVICE,
    ) -> None:
        self.time = Timeline(START)
        self.random = Random(seed)
        self.behaviour = behaviour
        self.rate = rate
        domains = {
            f'vm-{number:03}': _DOMAINS[number % 3] for number in range(vms)
        }
        self.senders = list(domains)[:9]
        self.order = RolloutOrder(service, 'v2', DURATION, 1)
        self.states = {name: self._start(name, domains) for name in domains}
        self.is_lost: Callable[[str, str], bool] = lambda sender, receiver: (
            False
        )
        self.frozen: set[str] = set()
        self.lost_answers = 0
        self.dark_target = ''
        self.dark_domain = ''
        self.is_store_away = False
        self.writes: list[tuple[str, Outcome, bool]] = []
        self.sent_by_version = {'': 0, 'v1': 0, 'v2': 0}
        self.path = '/fetch/x'
        self.bad_answers = 0
        self.old_sends_after_end = 0
        self.decisions: list[tuple[str, Decision]] = []
        self._next_request = 0
        self._handler_by_effect: Mapping[type, Callable[[str, Any], None]] = {
            SendMessage: self._pass_on,
            WriteRollout: self._write_later,
            SendRequest: self._send,
            CancelSend: self._cancel,
            Decision: self._log,
            WakeAt: self._wake,
        }

    def run(self, seconds: float = DURATION) -> None:
        """Publish the order, and let time pass."""
        self.publish()
        self._request_later()
        self.tick_later()
        self.time.run_until(START + seconds)

    def publish(self) -> None:
        """Let every VM that is not frozen read the order from the store."""
        read = RolloutStored(self.order)
        for name in self.states:
            self.time.later(0.1, partial(self.apply, name, read))

    def tick_later(self) -> None:
        """Start the periodic event of every VM."""
        for name in self.states:
            delay = 0.5 * self.random.random()
            self.time.later(delay, partial(self._tick, name))

    def rollout_of(self, name: str) -> Rollout:
        """Return the roll-out as a VM knows it."""
        known = self.states[name].rollouts
        return known.by_service[self.order.service]

    def apply(self, name: str, event: Event) -> None:
        """Apply an event to a VM, unless that is frozen."""
        if name in self.frozen:
            return
        for effect in reduce_event(self.states[name], event, self.time.now):
            handle = self._handler_by_effect.get(type(effect))
            if handle is not None:
                handle(name, effect)

    def write(self, name: str, effect: WriteRollout) -> None:
        """Write a state to the store if the order has not changed."""
        if self.is_store_away:
            return
        is_written = effect.revision == self.order.revision
        self.writes.append((name, effect.outcome, is_written))
        if is_written:
            self.order = replace(
                self.order,
                outcome=effect.outcome,
                revision=self.order.revision + 1,
            )
            self.publish()
        if self.lost_answers:
            self.lost_answers -= 1
            return
        self.apply(name, RolloutStored(self.order))

    def count(self, decision: str) -> int:
        """Return how many decisions of a name were logged."""
        return sum(one.name == decision for _, one in self.decisions)

    def _start(self, name: str, domains: dict[str, str]) -> DispatchState:
        state = DispatchState(
            domains[name], _LIMITS, Random(name), START, own_name=name
        )
        service = self.order.service
        usual = {
            target_id: one
            for target_id, one in records().items()
            if one.service != service
        }
        old = {**usual, **targets_of('v1', 0, service)}
        both = {**old, **targets_of('v2', START + 3, service)}
        for event in (
            VmsCounted(len(domains), len(domains) // 3, domain_by_vm=domains),
            ConfigurationChanged(configuration()),
            RolloutsListed(()),
            TargetsListed(old),
            TargetsListed(both),
        ):
            reduce_event(state, event, START)
        return state

    def _tick(self, name: str) -> None:
        self.apply(name, HousekeepingDue())
        self.time.later(0.5, lambda: self._tick(name))

    def _pass_on(self, sender: str, message: SendMessage) -> None:
        content = orjson.loads(orjson.dumps(message.content))
        is_report = message.kind == KIND_REPORT
        event = (read_report if is_report else read_directive)(sender, content)
        assert event is not None
        for receiver in message.receivers:
            if not self.is_lost(sender, receiver):
                self.time.later(0.001, partial(self.apply, receiver, event))

    def _write_later(self, name: str, effect: WriteRollout) -> None:
        self.time.later(0.004, partial(self.write, name, effect))

    def _cancel(self, name: str, effect: CancelSend) -> None:
        failed = SendFailed(effect.send_id, SendFailureKind.CANCELLED)
        self.time.later(0, partial(self.apply, name, failed))

    def _wake(self, name: str, effect: WakeAt) -> None:
        due = RequestDue(effect.request_id)
        delay = effect.instant - self.time.now
        self.time.later(delay, partial(self.apply, name, due))

    def _log(self, name: str, effect: Decision) -> None:
        self.decisions.append((name, effect))

    def _request_later(self) -> None:
        self.time.later(self.random.expovariate(self.rate), self._request_now)

    def _request_now(self) -> None:
        self._next_request += 1
        name = self.random.choice(self.senders)
        self.apply(name, RequestArrived(self._request()))
        self._request_later()

    def _request(self) -> RoutedRequest:
        return RoutedRequest(
            self._next_request,
            f'caller-{self._next_request}',
            b'GET',
            self.path.encode(),
            HOST,
            self.path,
            (),
            b'',
            2.0,
            self.time.now,
        )

    def _send(self, name: str, effect: SendRequest) -> None:
        target = effect.target
        if self.dark_target == target.target_id or (
            self.dark_domain == target.failure_domain
        ):
            failed = SendFailed(effect.send_id, SendFailureKind.CONNECT)
            if self.random.random() < _DARK_TIMEOUT_SHARE:
                failed = replace(failed, kind=SendFailureKind.TIMEOUT)
            self.time.later(0.5, partial(self.apply, name, failed))
            return
        self.sent_by_version[target.version] += 1
        is_bad = self.random.random() < _OLD_BAD_SHARE
        is_slow = is_bad
        behaviour = self.behaviour
        if target.version == 'v2':
            if self.time.now >= START + behaviour.since and (
                behaviour.only_target in {'', target.target_id}
            ):
                is_bad = self.random.random() < behaviour.bad_share
                is_slow = is_bad and behaviour.slow
            self.bad_answers += is_bad
        elif self.order.outcome is Outcome.COMPLETED:
            self.old_sends_after_end += 1
        latency = _LATENCY * (0.7 + 0.6 * self.random.random())
        answer = reply(b'x')
        if is_slow:
            latency *= 5
        elif is_bad:
            answer = reply(status=500)
        event = TargetReplied(effect.send_id, answer)
        self.time.later(latency, lambda: self.apply(name, event))
