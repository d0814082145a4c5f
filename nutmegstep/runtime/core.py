"""Passes events to the engine's reducer and performs the effects it returns."""

import asyncio
from collections import deque
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

from returns.result import Failure, Result, Success

from nutmegstep.clock import Clock
from nutmegstep.engine import EngineState, reduce
from nutmegstep.engine.effects import (
    CancelAttempt,
    CancelTimer,
    Effect,
    FinishDrain,
    RecordClaimOutcome,
    ReplyAnswer,
    ReplyRefusal,
    ReportWarm,
    RequestClaim,
    SendToTarget,
    SetTimer,
)
from nutmegstep.engine.events import (
    CallerDisconnected,
    ClaimRefused,
    Event,
    OneShotArrived,
    QueryArrived,
)
from nutmegstep.model import Answer, IdempotentQuery, OneShotRequest
from nutmegstep.runtime.protocols import (
    ClaimService,
    ObservedSend,
    SendObserver,
    WarmReporter,
)
from nutmegstep.runtime.timers import EngineTimers
from nutmegstep.targets import TargetPool
from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = ['Runtime']

Reply = Result[Answer, Refusal]
"""Outcome of a request: an answer, or a refusal that says what has run."""


class Runtime:
    """Holds the engine state, its timers and the requests not yet answered.

    The reducer is a function that changes the state according to an event and
    returns effects, such as a send to a target. The runtime performs them.

    Parameters
    ----------
    state : EngineState
        State that the reducer reads and changes.
    clock : Clock
        Clock of events and timers.
    pool : TargetPool
        Connections to targets.

    Attributes
    ----------
    state : EngineState
        The parameter of the same name.
    drained : asyncio.Event
        Set when the reducer reports the end of a drain.
    claims : ClaimService or None
        Claims the keys of one-shot requests. While it is None, such requests
        are refused.
    warm_reporter : WarmReporter or None
        Reports warm targets to other VMs. While it is None, nothing is
        reported.
    observe_send : SendObserver
        Starts a span and metrics for a target request; does nothing by
        default.
    """

    def __init__(
        self,
        state: EngineState,
        clock: Clock,
        pool: TargetPool,
    ) -> None:
        self.state = state
        self.drained = asyncio.Event()
        self.claims: ClaimService | None = None
        self.warm_reporter: WarmReporter | None = None
        self.observe_send: SendObserver = ObservedSend
        self._clock = clock
        self._pool = pool
        self._last_query_id = 0
        self._pending_events: deque[Event] = deque()
        self._dispatching = False
        self._reply_future_by_query: dict[int, asyncio.Future[Reply]] = {}
        self._one_shot_by_query: dict[int, OneShotRequest] = {}
        self._timers = EngineTimers(clock, self.dispatch)

    def dispatch(self, event: Event) -> None:
        """Pass an event to the reducer and perform the resulting effects.

        Parameters
        ----------
        event : Event
            The event.

        Notes
        -----
        An effect may dispatch another event before it returns, for example
        when a send fails immediately. That event is queued until all effects
        of the current one have been performed. Otherwise the cancellation of
        an attempt could be performed before its send.
        """
        self._pending_events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            self._process_pending()
        finally:
            self._dispatching = False

    async def execute(self, request: IdempotentQuery | OneShotRequest) -> Reply:
        """Execute a request and return its outcome.

        Parameters
        ----------
        request : IdempotentQuery or OneShotRequest
            The parsed request.

        Returns
        -------
        returns.result.Result
            `Answer` on success, `Refusal` on failure.

        Notes
        -----
        When this call is cancelled, `CallerDisconnected` is dispatched, so
        that the reducer can stop the work for the request.
        """
        self._last_query_id += 1
        query_id = self._last_query_id
        reply: asyncio.Future[Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._reply_future_by_query[query_id] = reply
        try:
            self._dispatch_arrival(query_id, request)
            return await reply
        finally:
            self._one_shot_by_query.pop(query_id, None)
            if self._reply_future_by_query.pop(query_id, None) is not None:
                self.dispatch(CallerDisconnected(query_id))

    def _dispatch_arrival(
        self,
        query_id: int,
        request: IdempotentQuery | OneShotRequest,
    ) -> None:
        if isinstance(request, IdempotentQuery):
            self.dispatch(QueryArrived(query_id, request))
            return
        self._one_shot_by_query[query_id] = request
        self.dispatch(OneShotArrived(query_id, request))

    def _process_pending(self) -> None:
        while self._pending_events:
            now = self._clock.monotonic()
            for effect in reduce(
                self.state, self._pending_events.popleft(), now
            ):
                _PERFORM_BY_EFFECT[type(effect)](self, effect)

    def _perform_send(self, effect: SendToTarget) -> None:
        fleet = self.state.fleet
        target = fleet.targets_by_name[effect.target]
        limit = max(1, target.connections // (2 * fleet.entry_vms_max))
        observed = self.observe_send(effect, self.dispatch)
        self._pool.send(observed.effect, target, limit, observed.report)

    def _perform_answer(self, effect: ReplyAnswer) -> None:
        self._resolve(effect.query_id, Success(effect.answer))

    def _perform_refusal(self, effect: ReplyRefusal) -> None:
        self._resolve(effect.query_id, Failure(effect.refusal))

    def _resolve(self, query_id: int, reply: Reply) -> None:
        future = self._reply_future_by_query.pop(query_id, None)
        if future is not None and not future.done():
            future.set_result(reply)

    def _perform_request_claim(self, effect: RequestClaim) -> None:
        request = self._one_shot_by_query.get(effect.query_id)
        if self.claims is None or request is None:
            self.dispatch(ClaimRefused(effect.query_id, _claims_unavailable()))
            return
        self.claims.claim(request, effect.query_id)

    def _perform_record_claim_outcome(self, effect: RecordClaimOutcome) -> None:
        if self.claims is not None:
            self.claims.record_claim_outcome(effect)

    def _perform_report_warm(self, effect: ReportWarm) -> None:
        if self.warm_reporter is not None:
            self.warm_reporter.report_warm(effect)

    def _perform_finish_drain(self, effect: FinishDrain) -> None:
        self.drained.set()


def _claims_unavailable() -> Refusal:
    return refuse(
        Verdict.MAY_HAVE_RUN,
        Reason.CLAIM_UNAVAILABLE,
        'no claim service is connected',
        attempt_verdict=Verdict.NOT_RUN,
    )


_PERFORM_BY_EFFECT: Final[
    MappingProxyType[type[Effect], Callable[[Runtime, Any], None]]
] = MappingProxyType(
    {
        SendToTarget: Runtime._perform_send,
        CancelAttempt: lambda runtime, effect: runtime._pool.cancel(
            effect.attempt_id,
        ),
        SetTimer: lambda runtime, effect: runtime._timers.set(effect),
        CancelTimer: lambda runtime, effect: runtime._timers.cancel(effect),
        ReplyAnswer: Runtime._perform_answer,
        ReplyRefusal: Runtime._perform_refusal,
        RequestClaim: Runtime._perform_request_claim,
        RecordClaimOutcome: Runtime._perform_record_claim_outcome,
        ReportWarm: Runtime._perform_report_warm,
        FinishDrain: Runtime._perform_finish_drain,
    }
)
