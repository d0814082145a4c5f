"""Modelled target: slots, a queue, pauses and troubles."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.events import SendFailureKind, TargetReply
from nutmegstep.experiment.fleet import FaultKind, InjectedFault, ShardGroup
from nutmegstep.experiment.world import World

__all__ = ['Answer', 'ModelTarget', 'Work']

Answer = TargetReply | SendFailureKind

_SHED = TargetReply(503, (), b'', '', was_executed=False)
_ERROR = TargetReply(500, (), b'', 'signed')
_EXPIRED = TargetReply(504, (), b'', 'signed')
_DONE = TargetReply(200, (), bytes(16), 'signed')


@dataclass(slots=True)
class Work:
    """A request at a target.

    Parameters
    ----------
    seconds : float
        Work that it takes on a healthy target.
    expires : float
        Instant at which the target stops.
    reply : Callable
        Takes the answer at the instant at which it leaves the target.
    """

    seconds: float
    expires: float
    reply: Callable[[Answer], None]
    is_running: bool = False
    is_over: bool = False


class ModelTarget:
    """One server process.

    Parameters
    ----------
    record : TargetRecord
        How it announces itself.
    group : ShardGroup
        Its shape.
    world : World
        Simulated time.
    random : random.Random
        Draws the phase of the pauses and failures.

    Attributes
    ----------
    arrivals : int
        Requests received.
    work_seconds : float
        Time for which slots were taken.
    """

    def __init__(
        self,
        record: TargetRecord,
        group: ShardGroup,
        world: World,
        random: Random,
    ) -> None:
        self.record = record
        self.arrivals = 0
        self.work_seconds = float(0)
        self._group = group
        self._world = world
        self._random = random
        self._busy = 0
        self._queue: deque[Work] = deque()
        self._pause = group.pause.total_seconds()
        self._every = group.pause_every.total_seconds()
        self._phase = random.random() * self._every
        self._faults: list[InjectedFault] = []

    def inject(self, fault: InjectedFault) -> None:
        """Let trouble befall the target."""
        self._faults.append(fault)

    def refuses_connections(self) -> bool:
        """Whether a connect fails at once."""
        return self._active_fault(FaultKind.REFUSING) is not None

    def is_silent(self) -> bool:
        """Whether nothing is answered."""
        return self._active_fault(FaultKind.SILENT) is not None

    def take(self, work: Work) -> None:
        """Receive a request."""
        self.arrivals += 1
        if self.is_silent():
            return
        shedding = self._active_fault(FaultKind.SHEDDING)
        if shedding and self._random.random() < shedding.factor:
            work.reply(_SHED)
        elif self._busy < self._group.slots:
            self._start(work)
        elif len(self._queue) < self._group.queue:
            self._queue.append(work)
        else:
            work.reply(_SHED)

    def cancel(self, work: Work) -> None:
        """Drop a request whose connection was closed."""
        if work.is_over:
            return
        work.is_over = True
        if work.is_running:
            self._free()
        elif work in self._queue:
            self._queue.remove(work)

    def _start(self, work: Work) -> None:
        now = self._world.now
        work.is_running = True
        self._busy += 1
        slow = self._active_fault(FaultKind.SLOW)
        factor = slow.factor if slow else 1
        finish = self._finish_after_pauses(now, work.seconds * factor)
        answer = _DONE
        errors = self._active_fault(FaultKind.ERRORS)
        if errors and self._random.random() < errors.factor:
            answer = _ERROR
        if finish > work.expires:
            finish, answer = work.expires, _EXPIRED
        self.work_seconds += max(0, finish - now)
        self._world.after(finish - now, lambda: self._end(work, answer))

    def _end(self, work: Work, answer: Answer) -> None:
        if work.is_over:
            return
        work.is_over = True
        if not self.is_silent():
            work.reply(answer)
        self._free()

    def _free(self) -> None:
        self._busy -= 1
        while self._queue and self._busy < self._group.slots:
            work = self._queue.popleft()
            if work.expires <= self._world.now:
                work.is_over = True
                work.reply(_SHED)
            else:
                self._start(work)

    def _finish_after_pauses(self, start: float, seconds: float) -> float:
        if not self._pause:
            return start + seconds
        finish = start
        left = seconds
        while left > 0:
            begins, ends = self._next_pause(finish)
            ran = min(left, max(0, begins - finish))
            left -= ran
            finish += ran
            if left > 0:
                finish = ends
        return finish

    def _next_pause(self, instant: float) -> tuple[float, float]:
        number = math.floor((instant - self._phase) / self._every)
        begins = self._phase + number * self._every
        if instant >= begins + self._pause:
            begins += self._every
        return begins, begins + self._pause

    def _active_fault(self, kind: FaultKind) -> InjectedFault | None:
        now = self._world.now
        active = (
            one
            for one in self._faults
            if one.kind is kind
            and 0
            <= now - one.start.total_seconds()
            < one.duration.total_seconds()
        )
        return next(active, None)
