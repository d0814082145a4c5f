"""Modelled target with slots, a queue, pauses and injected faults."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.events import SendFailureKind, TargetReply
from nutmegstep.experiment.fleet import FaultKind, InjectedFault, ShardGroup
from nutmegstep.experiment.simulation import Simulation

__all__ = ['ModelTarget', 'PendingRequest', 'SendOutcome']

SendOutcome = TargetReply | SendFailureKind

_SHED = TargetReply(503, (), b'', '', was_executed=False)
_ERROR = TargetReply(500, (), b'', 'signed')
_EXPIRED = TargetReply(504, (), b'', 'signed')
_DONE = TargetReply(200, (), bytes(16), 'signed')


@dataclass(slots=True)
class PendingRequest:
    """A request that a target has received; changed in place.

    Parameters
    ----------
    service_seconds : float
        Time in seconds that a target without faults needs.
    expires_at : float
        Simulated time in seconds at which the target gives up.
    on_answer : Callable
        Called with the answer at the simulated time at which it is sent.
    is_running : bool
        Whether the request has taken a slot.
    is_over : bool
        Whether the request was answered or cancelled.
    """

    service_seconds: float
    expires_at: float
    on_answer: Callable[[SendOutcome], None]
    is_running: bool = False
    is_over: bool = False


class ModelTarget:
    """A modelled target process.

    Parameters
    ----------
    record : TargetRecord
        Announcement of the target.
    group : ShardGroup
        Properties of the target.
    simulation : Simulation
        Source of simulated time.
    random : random.Random
        Source of the phase of the pauses and of random failures.
    speed : float, optional
        Speed of the target; service times are divided by it.

    Attributes
    ----------
    arrivals : int
        Number of requests received.
    busy_seconds : float
        Simulated time in seconds for which slots were taken, summed over the
        slots.
    """

    def __init__(
        self,
        record: TargetRecord,
        group: ShardGroup,
        simulation: Simulation,
        random: Random,
        speed: float = 1,
    ) -> None:
        self.record = record
        self.arrivals = 0
        self.busy_seconds = float(0)
        self._group = group
        self._simulation = simulation
        self._random = random
        self._busy = 0
        self._queue: deque[PendingRequest] = deque()
        self._pause_length = group.pause.total_seconds()
        self._pause_interval = group.pause_interval.total_seconds()
        self._phase = random.random() * self._pause_interval
        self._faults: list[InjectedFault] = []
        self._speed = speed
        self._slow_seed = random.random() if group.slow_share else 0

    def inject(self, fault: InjectedFault) -> None:
        """Add a fault, whose start is in simulated time."""
        self._faults.append(fault)

    def refuses_connections(self) -> bool:
        """Return whether a connection attempt is refused at once."""
        return self._active_fault(FaultKind.REFUSING) is not None

    def is_silent(self) -> bool:
        """Return whether the target answers nothing."""
        return self._active_fault(FaultKind.SILENT) is not None

    def slowness(self) -> float:
        """Return the factor on service times now, without injected faults."""
        factor = 1 / self._speed
        if not self._group.slow_share:
            return factor
        period = self._group.slow_period.total_seconds()
        number = math.floor(self._simulation.now / period)
        drawn = Random(f'{self._slow_seed} {number}').random()
        if drawn >= self._group.slow_share:
            return factor
        return factor * self._group.slow_factor

    def receive(self, request: PendingRequest) -> None:
        """Process, queue or reject a request; a silent target drops it."""
        self.arrivals += 1
        if self.is_silent():
            return
        shedding = self._active_fault(FaultKind.SHEDDING)
        if shedding and self._random.random() < shedding.factor:
            request.on_answer(_SHED)
        elif self._busy < self._group.slots:
            self._start(request)
        elif len(self._queue) < self._group.queue:
            self._queue.append(request)
        else:
            request.on_answer(_SHED)

    def cancel(self, request: PendingRequest) -> None:
        """Drop a request whose sender has given up."""
        if request.is_over:
            return
        request.is_over = True
        if request.is_running:
            self._free_slot()
        elif request in self._queue:
            self._queue.remove(request)

    def _start(self, request: PendingRequest) -> None:
        now = self._simulation.now
        request.is_running = True
        self._busy += 1
        slow = self._active_fault(FaultKind.SLOW)
        factor = slow.factor if slow else 1
        factor *= self.slowness()
        finish = self._finish_after_pauses(
            now, request.service_seconds * factor
        )
        answer = _DONE
        errors = self._active_fault(FaultKind.ERRORS)
        if errors and self._random.random() < errors.factor:
            answer = _ERROR
        if finish > request.expires_at:
            finish, answer = request.expires_at, _EXPIRED
        self.busy_seconds += max(0, finish - now)
        self._simulation.call_later(
            finish - now, lambda: self._end(request, answer)
        )

    def _end(self, request: PendingRequest, answer: SendOutcome) -> None:
        if request.is_over:
            return
        request.is_over = True
        if not self.is_silent():
            request.on_answer(answer)
        self._free_slot()

    def _free_slot(self) -> None:
        self._busy -= 1
        while self._queue and self._busy < self._group.slots:
            request = self._queue.popleft()
            if request.expires_at <= self._simulation.now:
                request.is_over = True
                request.on_answer(_SHED)
            else:
                self._start(request)

    def _finish_after_pauses(self, start: float, seconds: float) -> float:
        if not self._pause_length:
            return start + seconds
        finish = start
        remaining = seconds
        while remaining > 0:
            begins, ends = self._next_pause(finish)
            served = min(remaining, max(0, begins - finish))
            remaining -= served
            finish += served
            if remaining > 0:
                finish = ends
        return finish

    def _next_pause(self, instant: float) -> tuple[float, float]:
        number = math.floor((instant - self._phase) / self._pause_interval)
        begins = self._phase + number * self._pause_interval
        if instant >= begins + self._pause_length:
            begins += self._pause_interval
        return begins, begins + self._pause_length

    def _active_fault(self, kind: FaultKind) -> InjectedFault | None:
        now = self._simulation.now
        active = (
            fault
            for fault in self._faults
            if fault.kind is kind
            and 0
            <= now - fault.start.total_seconds()
            < fault.duration.total_seconds()
        )
        return next(active, None)
