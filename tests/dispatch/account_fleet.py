"""VMs that exchange messages about the limits of accounts, without a network.

Messages pass through the decoders as JSON. They may be lost, doubled or late, and
VMs may be frozen, killed, started again, added or cut off from each other.
"""

import heapq
from bisect import bisect_left
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import count
from random import Random

import orjson

from nutmegstep.accounts import AccountBound, ClientAccount, LimitTolerance
from nutmegstep.dispatch import DispatchState, reduce_event
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    ConfigurationRead,
    HousekeepingDue,
    TargetsListed,
    VmsCounted,
)
from nutmegstep.dispatch.effects import (
    DeliverRefusal,
    SendMessage,
    SendRequest,
    WakeAt,
)
from nutmegstep.dispatch.events import (
    Event,
    RequestArrived,
    RequestDue,
    RoutedRequest,
    TargetReplied,
)
from nutmegstep.gateway.account_messages import READ_BY_KIND
from nutmegstep.verdict import Refusal
from tests.dispatch.accounts import KEY, KEY_DIGEST, account_configuration
from tests.dispatch.conftest import HOST, LIMITS, records, reply

DOMAINS = ('north', 'south', 'west')
_HOUSEKEEPING = 0.5
_COUNT = 25.0
_ANSWER = 0.005


@dataclass
class Vm:
    """One VM of the simulated fleet."""

    name: str
    state: DispatchState
    frozen_until: float = 0
    is_alive: bool = True
    life: int = 0


@dataclass
class Fleet:
    """VMs with one limited account, and what became of its requests."""

    account: ClientAccount
    size: int = 7
    seed: int = 1
    loss: float = 0
    latest: float = 0.003
    is_first_start: bool = True
    now: float = 1000
    vms: dict[str, Vm] = field(default_factory=dict)
    admitted: list[float] = field(default_factory=list)
    refusals: list[tuple[float, Refusal]] = field(default_factory=list)
    messages: int = 0
    group_by_vm: dict[str, int] = field(default_factory=dict)
    is_store_up: bool = True
    first_lives: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Start all VMs."""
        self.random = Random(self.seed)
        self.version = 1
        self._ids = count(1)
        self._order = count()
        self._queue: list[tuple[float, int, str, int, Event]] = []
        self._sent_ids: set[int] = set()
        for number in range(self.size):
            self.start(f'vm-{number}')

    @property
    def bound(self) -> AccountBound:
        """Bound on the requests of the account."""
        return AccountBound(self.account, LimitTolerance())

    def start(self, name: str, *, is_first: bool | None = None) -> None:
        """Start a VM, or start it again."""
        known = self.vms.get(name)
        if known is None:
            self.first_lives.add(name)
        else:
            self.first_lives.discard(name)
        number = int(name.removeprefix('vm-'))
        domain = DOMAINS[number % len(DOMAINS)]
        state = DispatchState(domain, LIMITS, self.random, self.now, name)
        state.account_limits.is_first_start = (
            self.is_first_start if is_first is None else is_first
        )
        life = 0 if known is None else known.life + 1
        self.vms[name] = Vm(name, state, life=life)
        self.configure(name)
        self._apply(name, TargetsListed(records()))
        self._schedule(self.random.random() * _HOUSEKEEPING, name)
        for delay in (0, 1, 8):
            self._schedule(delay + self.random.random(), name, _Count())

    def configure(self, name: str) -> None:
        """Let a VM read the configuration in force."""
        made = account_configuration(self.version, ((self.account, (KEY,)),))
        self._apply(name, ConfigurationChanged(made))
        self._apply(name, ConfigurationRead())

    def limit(self, account: ClientAccount) -> None:
        """Replace the limit of the account at all VMs."""
        self.account = account
        self.version += 1
        for name in self.vms:
            self.configure(name)

    def kill(self, name: str) -> None:
        """End a VM; its entry in the registry stays."""
        self.vms[name].is_alive = False

    def freeze(self, name: str, seconds: float) -> None:
        """Suspend a VM; what it is sent waits."""
        self.vms[name].frozen_until = self.now + seconds

    def cut(self, names: Iterable[str], group: int) -> None:
        """Let VMs reach those of their group only."""
        self.group_by_vm.update(dict.fromkeys(names, group))

    def ask(self, name: str) -> None:
        """Let a request of the account arrive at a VM."""
        vm = self.vms[name]
        if vm.is_alive and self.now >= vm.frozen_until:
            request = RoutedRequest(
                next(self._ids),
                'caller',
                b'GET',
                b'/fetch/x',
                HOST,
                '/fetch/x',
                (),
                b'',
                2.0,
                self.now,
                key_digest=KEY_DIGEST,
            )
            self._apply(name, RequestArrived(request))

    def run(self, seconds: float, rate: float = 0) -> None:
        """Let time pass, while requests arrive at random VMs."""
        end = self.now + seconds
        next_at = self.now + self._pause(rate)
        while min(next_at, self._next_event()) < end:
            if next_at <= self._next_event():
                self.now = next_at
                next_at += self._pause(rate)
                self.ask(self.random.choice(list(self.vms)))
            else:
                self._handle_next()
        self.now = end

    def most_in_window(self) -> int:
        """Return the most requests that ran in any window of 5 s."""
        times = self.admitted
        return max(
            (
                index + 1 - bisect_left(times, time - 5)
                for index, time in enumerate(times)
            ),
            default=0,
        )

    def refused_since(self, since: float) -> int:
        """Return the number of requests that were refused since a time."""
        return sum(time >= since for time, _ in self.refusals)

    def _pause(self, rate: float) -> float:
        return self.random.expovariate(rate) if rate else float('inf')

    def _next_event(self) -> float:
        return self._queue[0][0] if self._queue else float('inf')

    def _schedule(
        self, delay: float, name: str, event: Event | None = None
    ) -> None:
        life = self.vms[name].life
        made = event or HousekeepingDue()
        item = (self.now + delay, next(self._order), name, life, made)
        heapq.heappush(self._queue, item)

    def _handle_next(self) -> None:
        due = heapq.heappop(self._queue)
        self.now = due[0]
        name, life, event = due[2:]
        vm = self.vms[name]
        if not vm.is_alive or life != vm.life:
            return
        if self.now < vm.frozen_until:
            self._schedule(vm.frozen_until - self.now, name, event)
            return
        if isinstance(event, _Count):
            self._count(name)
            return
        self._apply(name, event)
        if isinstance(event, HousekeepingDue):
            self._schedule(_HOUSEKEEPING, name)

    def _count(self, name: str) -> None:
        if self.is_store_up:
            domains = {one: vm.state.own_domain for one, vm in self.vms.items()}
            counted = VmsCounted(
                len(domains),
                1,
                domain_by_vm=domains,
                is_counted=name not in self.first_lives,
            )
            self._apply(name, counted)
        self._schedule(_COUNT * (1 + self.random.random()), name, _Count())

    def _apply(self, name: str, event: Event) -> None:
        for effect in reduce_event(self.vms[name].state, event, self.now):
            if isinstance(effect, SendMessage):
                self._pass(name, effect)
            elif isinstance(effect, WakeAt):
                due = RequestDue(effect.request_id)
                self._schedule(max(0, effect.instant - self.now), name, due)
            elif isinstance(effect, DeliverRefusal):
                self.refusals.append((self.now, effect.refusal))
            elif isinstance(effect, SendRequest):
                self._answer(name, effect)

    def _answer(self, name: str, send: SendRequest) -> None:
        if send.request.request_id not in self._sent_ids:
            self._sent_ids.add(send.request.request_id)
            self.admitted.append(self.now)
        answered = TargetReplied(send.send_id, reply(b'r'))
        self._schedule(_ANSWER, name, answered)

    def _pass(self, sender: str, effect: SendMessage) -> None:
        text = orjson.dumps(effect.content)
        content: Mapping[str, object] = orjson.loads(text)
        event = READ_BY_KIND[effect.kind](sender, content)
        assert event is not None
        group = self.group_by_vm.get(sender, 0)
        for receiver in effect.receivers:
            self.messages += 1
            if group != self.group_by_vm.get(receiver, 0):
                continue
            for _ in range(self.random.choice((1, 1, 1, 2))):
                if self.random.random() >= self.loss:
                    delay = self.random.random() * self.latest
                    self._schedule(delay, receiver, event)


class _Count(HousekeepingDue):
    """It is time to read the registry."""
