"""Feeds events to the reducer and performs its effects."""

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


class Runtime:
    """Owns the engine state, the timers and the replies that are due.

    Parameters
    ----------
    state : EngineState
        State of the reducer.
    clock : Clock
        Clock of the VM.
    pool : TargetPool
        Connections to targets.

    Attributes
    ----------
    drained : asyncio.Event
        Set when the reducer has finished a drain.
    claims : ClaimService or None
        Without one, one-shot requests are refused.
    warm_reporter : WarmReporter or None
        Without one, other VMs do not learn that a target is warm.
    observe_send : SendObserver
        Observes target requests; does nothing by default.
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
        """Apply an event and perform its effects.

        Notes
        -----
        An effect may report an event at once, such as a refused send. That
        event waits until all effects of the current one are performed;
        otherwise a cancel could overtake the send that it belongs to.
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
        """Return the answer or the refusal of a request.

        Parameters
        ----------
        request : IdempotentQuery or OneShotRequest
            The request.

        Returns
        -------
        returns.result.Result
            `Answer` on success, `Refusal` on failure.

        Notes
        -----
        A cancelled call tells the reducer that the caller has gone.
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
        waiting = self._reply_future_by_query.pop(query_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

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
