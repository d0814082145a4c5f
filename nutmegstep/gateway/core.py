"""Passes events to the dispatcher and performs the effects it returns."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from nutmegstep.clock import Clock
from nutmegstep.dispatch import DispatchState, reduce_event
from nutmegstep.dispatch.control_events import ProcessResumed
from nutmegstep.dispatch.effects import (
    CancelDelegation,
    CancelSend,
    Decision,
    DeclineDelegation,
    Delegate,
    DeliverMerged,
    DeliverRefusal,
    DeliverReply,
    DropTarget,
    ReportSuspect,
    ReturnSends,
    SendMessage,
    SendRequest,
    WakeAt,
    WriteRollout,
)
from nutmegstep.dispatch.events import (
    CallerLeft,
    Event,
    RequestArrived,
    RequestDue,
    RoutedRequest,
)
from nutmegstep.gateway.codec import Delivery, WireCodec
from nutmegstep.gateway.crash_records import CrashReporter
from nutmegstep.gateway.decisions import DecisionLog
from nutmegstep.gateway.delegation import (
    DelegationClient,
    DelegationDeclined,
    decline,
    mark_answer,
    read_delegated,
)
from nutmegstep.gateway.metrics import GatewayMetrics
from nutmegstep.gateway.outcomes import SendOutcome, read_outcome
from nutmegstep.gateway.pause import PauseDetector
from nutmegstep.gateway.pending import PendingRequest
from nutmegstep.gateway.pool import ConnectionPool
from nutmegstep.web import HttpRequest, HttpResponse

if TYPE_CHECKING:
    from nutmegstep.gateway.tracing import Tracing

__all__ = ['Gateway']

_LOOP_PASSES_BEFORE_WAKE: Final = 2
"""Iterations of the event loop between the end of a timer and its `RequestDue`
event. A reply whose socket is readable when the timer ends is
read by the end of the second iteration."""


class Gateway:
    """Answers callers by sending requests to targets.

    The dispatcher decides; this class keeps timers and connections.

    Parameters
    ----------
    state : DispatchState
        State of the dispatcher.
    clock : Clock
        Monotonic clock that gives the time of each event.
    codec : WireCodec
        Translates the HTTP headers of callers and targets.
    metrics : GatewayMetrics
        Counters and latency histograms.
    tracing : Tracing, optional
        Records spans; no spans are recorded without it.

    Attributes
    ----------
    pool : ConnectionPool
        Connections to targets.
    crash_reporter : CrashReporter
        Checks targets and writes records of crashes to the store.
    decisions : DecisionLog
        Log of the dispatcher's decisions.
    on_suspect : Callable
        Called with the identifier of a target that does not answer in time.
    on_resumed : Callable
        Called when the process was paused, before the next event is handled.
    """

    def __init__(
        self,
        state: DispatchState,
        clock: Clock,
        codec: WireCodec,
        metrics: GatewayMetrics,
        tracing: 'Tracing | None' = None,
    ) -> None:
        self.state = state
        self.pool = ConnectionPool(clock, codec, self._finish_send)
        self.crash_reporter = CrashReporter(self.dispatch)
        self._delegations = DelegationClient(clock, codec, self.dispatch)
        self.decisions = DecisionLog(clock)
        self.on_suspect: Callable[[str], None] = _ignore
        self.on_resumed: Callable[[], None] = _ignore
        self._pauses = PauseDetector(clock.monotonic())
        self._clock = clock
        self._codec = codec
        self._metrics = metrics
        self._tracing = tracing
        self._last_id = 0
        self._events: deque[Event] = deque()
        self._is_dispatching = False
        self._pending_by_request: dict[int, PendingRequest] = {}
        self._handler_by_effect: dict[type, Callable[[Any], None]] = {
            SendRequest: self._send,
            Delegate: self._delegations.send,
            CancelDelegation: self._cancel_delegation,
            DeclineDelegation: self._decline_delegation,
            CancelSend: lambda effect: self.pool.cancel(effect.send_id),
            DropTarget: lambda effect: self.pool.drop_target(effect.target_id),
            ReturnSends: lambda effect: self.pool.return_sends(
                effect.target_id
            ),
            ReportSuspect: lambda effect: self.on_suspect(effect.target_id),
            **dict.fromkeys((SendMessage, WriteRollout), _ignore),
            WakeAt: self._wake_at,
            DeliverReply: self._deliver,
            DeliverMerged: self._deliver,
            DeliverRefusal: self._deliver,
            Decision: self._log_decision,
            **self.crash_reporter.handler_by_effect,
        }

    def carry_out_with(self, kind: type, handle: Callable[[Any], None]) -> None:
        """Set what carries out messages or writes; without it nothing does."""
        self._handler_by_effect[kind] = handle

    @property
    def open_requests(self) -> int:
        """Number of callers' requests that are not answered yet."""
        return len(self._pending_by_request)

    def dispatch(self, event: Event) -> None:
        """Pass an event to the dispatcher and perform the effects.

        An effect may cause another event before this method returns. Such an
        event is queued and handled after the remaining effects.
        """
        self._events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            self._reduce_events()
        finally:
            self._is_dispatching = False

    async def handle(self, http_request: HttpRequest) -> HttpResponse:
        """Answer a caller; cancelled when the caller disconnects."""
        request = self._read_request(http_request)
        delivery = await self._answer(request)
        return self._codec.write_response(request, delivery)

    async def handle_delegated(
        self, http_request: HttpRequest, *, is_stopping: bool
    ) -> HttpResponse:
        """Answer a query of a neighbour; cancelled when it disconnects."""
        request = read_delegated(http_request, self._read_request(http_request))
        if request is None or is_stopping:
            return decline('invalid_terms' if request is None else 'stopping')
        try:
            delivery = await self._answer(request)
        except DelegationDeclined as declined:
            return decline(declined.reason)
        response = self._codec.write_response(request, delivery)
        return mark_answer(response, delivery)

    def close(self) -> None:
        """Close all connections to targets and coordinators."""
        self._delegations.close()
        self.crash_reporter.close()
        self.pool.close()

    def _read_request(self, http_request: HttpRequest) -> RoutedRequest:
        self._last_id += 1
        return self._codec.read_request(
            http_request, self._last_id, self._clock.monotonic()
        )

    async def _answer(self, request: RoutedRequest) -> Delivery:
        pending = PendingRequest(request)
        self._pending_by_request[request.request_id] = pending
        delivery: Delivery | None = None
        if self._tracing is not None:
            self._tracing.start_request(request)
        try:
            self.dispatch(RequestArrived(request))
            delivery = await pending.answer
        except asyncio.CancelledError:
            self.dispatch(CallerLeft(request.request_id))
            raise
        finally:
            self._finish_request(pending, delivery)
        seconds = self._clock.monotonic() - request.arrived_at
        self._metrics.count_request(delivery, seconds)
        return delivery

    def _finish_request(
        self, pending: PendingRequest, delivery: Delivery | None
    ) -> None:
        request_id = pending.request.request_id
        self._pending_by_request.pop(request_id)
        if pending.timer is not None:
            pending.timer.cancel()
        if self._tracing is not None:
            self._tracing.end_request(request_id, delivery)

    def _reduce_events(self) -> None:
        while self._events:
            now = self._clock.monotonic()
            if self._pauses.record_event(now):
                self._reduce(ProcessResumed(), now)
                self.on_resumed()
            self._reduce(self._events.popleft(), now)

    def _reduce(self, event: Event, now: float) -> None:
        for effect in reduce_event(self.state, event, now):
            self._handler_by_effect[type(effect)](effect)

    def _send(self, effect: SendRequest) -> None:
        if self._tracing is not None:
            self._tracing.start_send(effect)
        self.pool.send(effect)

    def _cancel_delegation(self, effect: CancelDelegation) -> None:
        self._delegations.cancel(effect.delegation_id)

    def _decline_delegation(self, effect: DeclineDelegation) -> None:
        pending = self._pending_by_request.get(effect.request_id)
        if pending is not None and not pending.answer.done():
            pending.answer.set_exception(DelegationDeclined(effect.reason))

    def _log_decision(self, effect: Decision) -> None:
        self._metrics.count_decision(effect)
        self.decisions.write(effect)

    def _deliver(self, effect: Delivery) -> None:
        pending = self._pending_by_request.get(effect.request_id)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(effect)

    def _wake_at(self, effect: WakeAt) -> None:
        pending = self._pending_by_request.get(effect.request_id)
        if pending is None:
            return
        if pending.timer is not None:
            # An earlier timer is kept. When it ends, the dispatcher returns
            # another `WakeAt`, which costs less than replacing the timer.
            if pending.timer_at <= effect.instant:
                return
            pending.timer.cancel()
        pending.timer_at = effect.instant
        pending.timer = asyncio.get_running_loop().call_later(
            effect.instant - self._clock.monotonic(),
            self._on_timer,
            pending,
        )

    def _on_timer(
        self,
        pending: PendingRequest,
        loop_passes: int = _LOOP_PASSES_BEFORE_WAKE,
    ) -> None:
        # A busy process may find a timer due although the reply has arrived.
        # Reading such replies first avoids hedging them.
        if loop_passes:
            asyncio.get_running_loop().call_soon(
                self._on_timer, pending, loop_passes - 1
            )
            return
        pending.timer = None
        self.dispatch(RequestDue(pending.request.request_id))

    def _finish_send(self, effect: SendRequest, outcome: SendOutcome) -> None:
        event = read_outcome(self._codec, effect, outcome)
        self._metrics.count_send(event)
        if self._tracing is not None:
            self._tracing.end_send(event)
        self.dispatch(event)


def _ignore(*details: object) -> None:
    """Do nothing; replaced in a gateway with a store and neighbours."""
