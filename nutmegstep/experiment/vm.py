"""Modelled entry VM: plays the dispatcher over modelled connections."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

from nutmegstep.dispatch import DispatchState, reduce_event
from nutmegstep.dispatch.effects import (
    CancelSend,
    Decision,
    DeliverMerged,
    DeliverRefusal,
    DeliverReply,
    DropTarget,
    Effect,
    ReportSuspect,
    SendRequest,
    WakeAt,
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
from nutmegstep.experiment.target import Answer, ModelTarget, Work
from nutmegstep.experiment.world import World

__all__ = ['Delivery', 'ModelVm', 'Network']

Delivery = DeliverMerged | DeliverRefusal | DeliverReply
DrawWork = Callable[[RoutedRequest], float]

_IDLE_SECONDS = 5.0
"""For how long a modelled target keeps an idle connection."""
_CONNECT_TIMEOUT = 0.25
"""Seconds after which a connect to a silent target fails."""


@dataclass(frozen=True, slots=True)
class Network:
    """Latencies, in seconds.

    Parameters
    ----------
    own_domain, other_domain : float
        One way within a failure domain and to another one.
    connect_by_service : Mapping
        Work of a target on a new connection.
    """

    own_domain: float
    other_domain: float
    connect_by_service: Mapping[str, float]


@dataclass(slots=True)
class _Flight:
    target: ModelTarget
    work: Work | None = None


class ModelVm:
    """An entry VM.

    Parameters
    ----------
    state : DispatchState
        State of its dispatcher.
    world : World
        Simulated time.
    network : Network
        Latencies.
    targets_by_id : Mapping
        All targets.
    draw_work : Callable
        Returns the work of a request at one target in seconds.
    """

    def __init__(
        self,
        state: DispatchState,
        world: World,
        network: Network,
        targets_by_id: Mapping[str, ModelTarget],
        draw_work: DrawWork,
    ) -> None:
        self.state = state
        self.decisions: Counter[str] = Counter()
        self.on_report: Callable[[str], None] = lambda target_id: None
        self._world = world
        self._network = network
        self._targets_by_id = targets_by_id
        self._draw_work = draw_work
        self._on_delivery: dict[int, Callable[[Delivery], None]] = {}
        self._flight_by_send: dict[int, _Flight] = {}
        self._idle_by_target: dict[str, list[float]] = {}
        perform: dict[type, Callable[[Any], None]] = {
            SendRequest: self._send,
            CancelSend: self._cancel,
            WakeAt: self._wake_at,
            ReportSuspect: self._report,
            DeliverReply: self._deliver,
            DeliverMerged: self._deliver,
            DeliverRefusal: self._deliver,
            DropTarget: self._count,
            Decision: self._count,
        }
        self._perform_by_effect: Mapping[type, Callable[[Any], None]] = perform

    def ask(
        self,
        request: RoutedRequest,
        on_delivery: Callable[[Delivery], None],
    ) -> None:
        """Take a request of a caller."""
        self._on_delivery[request.request_id] = on_delivery
        self.dispatch(RequestArrived(request))

    def dispatch(self, event: Event) -> None:
        """Reduce an event and carry out the effects."""
        for effect in reduce_event(self.state, event, self._world.now):
            self._perform_by_effect[type(effect)](effect)

    def _wake_at(self, effect: WakeAt) -> None:
        self._world.after(
            effect.instant - self._world.now,
            partial(self.dispatch, RequestDue(effect.request_id)),
        )

    def _report(self, effect: ReportSuspect) -> None:
        self.on_report(effect.target_id)

    def _deliver(self, effect: Delivery) -> None:
        self._on_delivery.pop(effect.request_id)(effect)

    def _count(self, effect: Effect) -> None:
        self.decisions[getattr(effect, 'name', 'drop_target')] += 1

    def _send(self, effect: SendRequest) -> None:
        target = self._targets_by_id[effect.target.target_id]
        self._flight_by_send[effect.send_id] = _Flight(target)
        self._world.after(
            effect.expires_at - self._world.now,
            partial(self._fail, effect.send_id, SendFailureKind.TIMEOUT),
        )
        one_way = self._one_way(target)
        if self._take_idle(target):
            self._world.after(one_way, partial(self._arrive, effect, one_way))
            return
        if target.refuses_connections():
            refuse = partial(
                self._fail, effect.send_id, SendFailureKind.CONNECT
            )
            self._world.after(2 * one_way, refuse)
        elif target.is_silent():
            refuse = partial(
                self._fail, effect.send_id, SendFailureKind.CONNECT
            )
            self._world.after(_CONNECT_TIMEOUT, refuse)
        else:
            service = effect.target.service
            delay = 3 * one_way + self._network.connect_by_service[service]
            self._world.after(delay, partial(self._arrive, effect, one_way))

    def _arrive(self, effect: SendRequest, one_way: float) -> None:
        flight = self._flight_by_send.get(effect.send_id)
        if flight is None:
            return
        flight.work = Work(
            self._draw_work(effect.request),
            effect.expires_at,
            lambda answer: self._world.after(
                one_way,
                partial(self._return, effect.send_id, answer),
            ),
        )
        flight.target.take(flight.work)

    def _return(self, send_id: int, answer: Answer) -> None:
        flight = self._flight_by_send.pop(send_id, None)
        if flight is None:
            return
        if isinstance(answer, SendFailureKind):
            self.dispatch(SendFailed(send_id, answer))
            return
        idle = self._idle_by_target.setdefault(
            flight.target.record.target_id,
            [],
        )
        idle.append(self._world.now)
        self.dispatch(TargetReplied(send_id, answer))

    def _fail(self, send_id: int, kind: SendFailureKind) -> None:
        flight = self._flight_by_send.pop(send_id, None)
        if flight is None:
            return
        if flight.work is not None:
            flight.target.cancel(flight.work)
        self.dispatch(SendFailed(send_id, kind))

    def _cancel(self, effect: CancelSend) -> None:
        self._world.after(
            0,
            partial(self._fail, effect.send_id, SendFailureKind.CANCELLED),
        )

    def _take_idle(self, target: ModelTarget) -> bool:
        idle = self._idle_by_target.get(target.record.target_id, [])
        while idle:
            if self._world.now - idle.pop() < _IDLE_SECONDS:
                return True
        return False

    def _one_way(self, target: ModelTarget) -> float:
        if target.record.failure_domain == self.state.own_domain:
            return self._network.own_domain
        return self._network.other_domain
