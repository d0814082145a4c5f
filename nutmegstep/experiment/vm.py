"""Modelled entry VM: runs the dispatcher over modelled connections."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

from nutmegstep.dispatch import DispatchState, reduce_event
from nutmegstep.dispatch.control_events import TargetChecked
from nutmegstep.dispatch.effects import (
    CancelSend,
    CheckTarget,
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
from nutmegstep.experiment.simulation import Simulation
from nutmegstep.experiment.target import (
    ModelTarget,
    PendingRequest,
    SendOutcome,
)

__all__ = ['Delivery', 'ModelVm', 'Network']

Delivery = DeliverMerged | DeliverRefusal | DeliverReply
DrawServiceTime = Callable[[RoutedRequest], float]

_IDLE_TIMEOUT_SECONDS = 5.0
"""Time after which an idle connection can no longer be reused."""
_CONNECT_TIMEOUT_SECONDS = 0.25
"""Time after which a connection attempt to a silent target fails."""


@dataclass(frozen=True, slots=True)
class Network:
    """Network latencies in seconds.

    Parameters
    ----------
    own_domain, other_domain : float
        One-way latency within a failure domain and to another one.
    connect_by_service : Mapping
        Processing time of a target for a new connection, by service.
    """

    own_domain: float
    other_domain: float
    connect_by_service: Mapping[str, float]


@dataclass(slots=True)
class _OpenSend:
    target: ModelTarget
    request: PendingRequest | None = None


class ModelVm:
    """A modelled entry VM.

    Parameters
    ----------
    state : DispatchState
        State of the dispatcher.
    simulation : Simulation
        Source of simulated time.
    network : Network
        Network latencies.
    targets_by_id : Mapping
        All targets by their identifiers.
    draw_service_time : Callable
        Draws the time in seconds that one target needs for a request.

    Attributes
    ----------
    decisions : Counter
        Number of decisions of each kind.
    on_report : Callable
        Called with the identifier of a target that this VM suspects.
    """

    def __init__(
        self,
        state: DispatchState,
        simulation: Simulation,
        network: Network,
        targets_by_id: Mapping[str, ModelTarget],
        draw_service_time: DrawServiceTime,
    ) -> None:
        self.state = state
        self.decisions: Counter[str] = Counter()
        self.on_report: Callable[[str], None] = lambda target_id: None
        self._simulation = simulation
        self._network = network
        self._targets_by_id = targets_by_id
        self._draw_service_time = draw_service_time
        self._on_delivery: dict[int, Callable[[Delivery], None]] = {}
        self._open_by_send: dict[int, _OpenSend] = {}
        self._idle_by_target: dict[str, list[float]] = {}
        perform: dict[type, Callable[[Any], None]] = {
            SendRequest: self._send,
            CancelSend: self._cancel,
            WakeAt: self._wake_at,
            CheckTarget: self._check,
            ReportSuspect: lambda effect: self.on_report(effect.target_id),
            DeliverReply: self._deliver,
            DeliverMerged: self._deliver,
            DeliverRefusal: self._deliver,
            DropTarget: self._count,
            Decision: self._count,
        }
        self._perform_by_effect: Mapping[type, Callable[[Any], None]] = perform

    def submit(
        self,
        request: RoutedRequest,
        on_delivery: Callable[[Delivery], None],
    ) -> None:
        """Dispatch a request of a caller.

        Parameters
        ----------
        request : RoutedRequest
            The request.
        on_delivery : Callable
            Called with the answer or the refusal.
        """
        self._on_delivery[request.request_id] = on_delivery
        self.dispatch(RequestArrived(request))

    def dispatch(self, event: Event) -> None:
        """Pass an event to the reducer and perform its effects."""
        for effect in reduce_event(self.state, event, self._simulation.now):
            self._perform_by_effect[type(effect)](effect)

    def _wake_at(self, effect: WakeAt) -> None:
        self._simulation.call_later(
            effect.instant - self._simulation.now,
            partial(self.dispatch, RequestDue(effect.request_id)),
        )

    def _check(self, effect: CheckTarget) -> None:
        target_id = effect.target.target_id
        target = self._targets_by_id[target_id]
        is_listening = not target.refuses_connections()
        if is_listening and target.is_silent():
            return
        self._simulation.call_later(
            2 * self._one_way(target),
            partial(self.dispatch, TargetChecked(target_id, is_listening)),
        )

    def _deliver(self, effect: Delivery) -> None:
        self._on_delivery.pop(effect.request_id)(effect)

    def _count(self, effect: Effect) -> None:
        self.decisions[getattr(effect, 'name', 'drop_target')] += 1

    def _send(self, effect: SendRequest) -> None:
        target = self._targets_by_id[effect.target.target_id]
        self._open_by_send[effect.send_id] = _OpenSend(target)
        self._simulation.call_later(
            effect.expires_at - self._simulation.now,
            partial(self._fail, effect.send_id, SendFailureKind.TIMEOUT),
        )
        one_way = self._one_way(target)
        if self._take_idle(target):
            self._simulation.call_later(
                one_way, partial(self._arrive, effect, one_way)
            )
            return
        if target.refuses_connections():
            fail = partial(self._fail, effect.send_id, SendFailureKind.CONNECT)
            self._simulation.call_later(2 * one_way, fail)
        elif target.is_silent():
            fail = partial(self._fail, effect.send_id, SendFailureKind.CONNECT)
            self._simulation.call_later(_CONNECT_TIMEOUT_SECONDS, fail)
        else:
            service = effect.target.service
            delay = 3 * one_way + self._network.connect_by_service[service]
            self._simulation.call_later(
                delay, partial(self._arrive, effect, one_way)
            )

    def _arrive(self, effect: SendRequest, one_way: float) -> None:
        open_send = self._open_by_send.get(effect.send_id)
        if open_send is None:
            return
        open_send.request = PendingRequest(
            self._draw_service_time(effect.request),
            effect.expires_at,
            lambda answer: self._simulation.call_later(
                one_way,
                partial(self._return, effect.send_id, answer),
            ),
        )
        open_send.target.receive(open_send.request)

    def _return(self, send_id: int, answer: SendOutcome) -> None:
        open_send = self._open_by_send.pop(send_id, None)
        if open_send is None:
            return
        if isinstance(answer, SendFailureKind):
            self.dispatch(SendFailed(send_id, answer))
            return
        idle = self._idle_by_target.setdefault(
            open_send.target.record.target_id,
            [],
        )
        idle.append(self._simulation.now)
        self.dispatch(TargetReplied(send_id, answer))

    def _fail(self, send_id: int, kind: SendFailureKind) -> None:
        open_send = self._open_by_send.pop(send_id, None)
        if open_send is None:
            return
        if open_send.request is not None:
            open_send.target.cancel(open_send.request)
        self.dispatch(SendFailed(send_id, kind))

    def _cancel(self, effect: CancelSend) -> None:
        self._simulation.call_later(
            0,
            partial(self._fail, effect.send_id, SendFailureKind.CANCELLED),
        )

    def _take_idle(self, target: ModelTarget) -> bool:
        idle = self._idle_by_target.get(target.record.target_id, [])
        while idle:
            if self._simulation.now - idle.pop() < _IDLE_TIMEOUT_SECONDS:
                return True
        return False

    def _one_way(self, target: ModelTarget) -> float:
        if target.record.failure_domain == self.state.own_domain:
            return self._network.own_domain
        return self._network.other_domain
