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
    ReplyAnswer,
    ReplyRefusal,
    SendToTarget,
    SetTimer,
)
from nutmegstep.engine.events import (
    CallerGone,
    Event,
    QueryArrived,
    TimerFired,
    TimerKey,
)
from nutmegstep.model import Answer, IdempotentQuery
from nutmegstep.targets import TargetPool
from nutmegstep.verdict import Refusal

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
    """

    def __init__(
        self,
        state: EngineState,
        clock: Clock,
        pool: TargetPool,
    ) -> None:
        self.state = state
        self.drained = asyncio.Event()
        self._clock = clock
        self._pool = pool
        self._last_query_id = 0
        self._pending: deque[Event] = deque()
        self._dispatching = False
        self._reply_by_query: dict[int, asyncio.Future[Reply]] = {}
        self._timer_by_key: dict[TimerKey, asyncio.TimerHandle] = {}

    def dispatch(self, event: Event) -> None:
        """Apply an event and perform its effects.

        Notes
        -----
        An effect may report an event at once, such as a refused send. That
        event waits until all effects of the current one are performed;
        otherwise a cancel could overtake the send that it belongs to.
        """
        self._pending.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            self._drain_pending()
        finally:
            self._dispatching = False

    async def ask(self, query: IdempotentQuery) -> Reply:
        """Return the answer or the refusal of a query.

        Parameters
        ----------
        query : IdempotentQuery
            The query.

        Returns
        -------
        returns.result.Result
            `Answer` on success, `Refusal` on failure.
        """
        self._last_query_id += 1
        query_id = self._last_query_id
        reply: asyncio.Future[Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._reply_by_query[query_id] = reply
        self.dispatch(QueryArrived(query_id, query))
        try:
            return await reply
        finally:
            if self._reply_by_query.pop(query_id, None) is not None:
                self.dispatch(CallerGone(query_id))

    def _drain_pending(self) -> None:
        while self._pending:
            now = self._clock.monotonic()
            for effect in reduce(self.state, self._pending.popleft(), now):
                _PERFORM_BY_EFFECT[type(effect)](self, effect)

    def _perform_send(self, effect: SendToTarget) -> None:
        fleet = self.state.fleet
        target = fleet.targets_by_name[effect.target]
        limit = max(1, target.connections // (2 * fleet.entry_vms_max))
        self._pool.send(effect, target, limit, self.dispatch)

    def _perform_cancel_attempt(self, effect: CancelAttempt) -> None:
        self._pool.cancel(effect.attempt_id)

    def _perform_set_timer(self, effect: SetTimer) -> None:
        delay = effect.at - self._clock.monotonic()
        self._timer_by_key[effect.timer] = (
            asyncio.get_running_loop().call_later(
                max(0, delay),
                self._fire,
                effect.timer,
            )
        )

    def _fire(self, timer: TimerKey) -> None:
        self._timer_by_key.pop(timer, None)
        self.dispatch(TimerFired(timer))

    def _perform_cancel_timer(self, effect: CancelTimer) -> None:
        handle = self._timer_by_key.pop(effect.timer, None)
        if handle is not None:
            handle.cancel()

    def _perform_answer(self, effect: ReplyAnswer) -> None:
        self._resolve(effect.query_id, Success(effect.answer))

    def _perform_refusal(self, effect: ReplyRefusal) -> None:
        self._resolve(effect.query_id, Failure(effect.refusal))

    def _resolve(self, query_id: int, reply: Reply) -> None:
        waiting = self._reply_by_query.pop(query_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

    def _perform_finish_drain(self, effect: FinishDrain) -> None:
        self.drained.set()


_PERFORM_BY_EFFECT: Final[
    MappingProxyType[type[Effect], Callable[[Runtime, Any], None]]
] = MappingProxyType(
    {
        SendToTarget: Runtime._perform_send,
        CancelAttempt: Runtime._perform_cancel_attempt,
        SetTimer: Runtime._perform_set_timer,
        CancelTimer: Runtime._perform_cancel_timer,
        ReplyAnswer: Runtime._perform_answer,
        ReplyRefusal: Runtime._perform_refusal,
        FinishDrain: Runtime._perform_finish_drain,
    }
)
