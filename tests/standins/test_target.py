"""Tests of the target stand-in with a manual timer."""

from collections.abc import Callable
from random import Random

import pytest

from nutmegstep.standins import TargetRequest, TargetSettings, TargetStandIn
from nutmegstep.standins.target import Job
from nutmegstep.web import HttpResponse


class _Handle:
    """A call that is due."""

    def __init__(self, action: Callable[[Job], None], job: Job) -> None:
        self.action = action
        self.job = job
        self.cancelled = False

    def cancel(self) -> None:
        """Forget the call."""
        self.cancelled = True


class _Timers:
    """Timers that fire in order when told to."""

    def __init__(self) -> None:
        self.pending: list[_Handle] = []

    def call_later(
        self,
        seconds: float,
        action: Callable[[Job], None],
        job: Job,
    ) -> _Handle:
        """Keep a call."""
        self.pending.append(_Handle(action, job))
        return self.pending[-1]

    def fire(self) -> None:
        """Make every call that is due now."""
        due = [handle for handle in self.pending if not handle.cancelled]
        self.pending = []
        for handle in due:
            handle.action(handle.job)


class _Bench:
    """A target with its timers and the replies it gave."""

    def __init__(self, **settings: int) -> None:
        self.timers = _Timers()
        self.replies: list[HttpResponse | None] = []
        self.target = TargetStandIn(
            TargetSettings('t-1', **settings),
            Random(1),
            {4: frozenset(('a',))},
            self.timers.call_later,
        )

    def send(self, version: int = 4, body: bytes = b'{}') -> Job:
        """Submit a request for shard a."""
        request = TargetRequest('7', 'a', version, body)
        return self.target.submit(request, self.replies.append)

    @property
    def statuses(self) -> list[int | None]:
        """Status of each reply; None for a reset."""
        return [reply and reply.status for reply in self.replies]


def test_requests_beyond_slots_and_queue_are_shed_unexecuted() -> None:
    """Guards against an unbounded queue, which hides overload."""
    bench = _Bench(slots=1)
    for _ in range(4):
        bench.send()
    assert bench.statuses == [503]
    assert bench.replies[0] is not None
    assert ('X-Executed', 'no') in bench.replies[0].headers
    for _ in range(3):
        bench.timers.fire()
    assert bench.statuses == [503, 200, 200, 200]
    assert bench.target.counts.executed == 3


def test_closed_connection_frees_the_slot() -> None:
    """Guards against work that goes on after its connection closed."""
    bench = _Bench(slots=1)
    first = bench.send()
    bench.send()
    bench.target.cancel(first)
    bench.timers.fire()
    assert bench.statuses == [200]
    assert bench.target.counts.ended_early == 1
    assert bench.target.counts.executed == 1


def test_cold_target_records_its_peak_and_warms() -> None:
    """Guards against overload of a cold target that no figure shows."""
    bench = _Bench(slots=3, warm_after=2)
    bench.target.turn_cold()
    bench.target.faults.cold_fails = True
    bench.send()
    bench.send()
    assert bench.statuses == [500]
    assert bench.target.counts.cold_peak == 2
    bench.timers.fire()
    bench.send()
    bench.timers.fire()
    assert not bench.target.cold


@pytest.mark.parametrize(
    ('fault', 'executed', 'status'),
    [('resets_before', 0, None), ('resets_after', 1, None)],
)
def test_reset_counts_executions(
    fault: str,
    executed: int,
    status: int | None,
) -> None:
    """Guards against a wrong count of one-shot executions at resets."""
    bench = _Bench()
    setattr(bench.target.faults, fault, 1)
    bench.send(body=b'{"marker": "m-1"}')
    bench.timers.fire()
    assert bench.statuses == [status]
    assert bench.target.counts.executions_by_marker['m-1'] == executed


def test_unknown_version_names_those_held() -> None:
    """Guards against an answer from another snapshot."""
    bench = _Bench()
    bench.send(version=5)
    assert bench.statuses == [409]
    assert bench.replies[0] is not None
    assert ('Index-Versions', '4') in bench.replies[0].headers


@pytest.mark.parametrize(
    ('fault', 'header'),
    [
        ('wrong_identifiers', ('X-Request-Id', '70')),
        ('wrong_versions', ('Index-Version', '5')),
    ],
)
def test_wrong_answers_are_wrong_once(
    fault: str,
    header: tuple[str, str],
) -> None:
    """Guards against a fault switch that stays on."""
    bench = _Bench()
    setattr(bench.target.faults, fault, 1)
    bench.send()
    bench.send()
    bench.timers.fire()
    wrong = [reply and header in reply.headers for reply in bench.replies]
    assert wrong == [True, False]


def test_draining_target_says_so() -> None:
    """Guards against a leaving target that takes new work."""
    bench = _Bench()
    bench.target.faults.draining = True
    bench.send()
    assert bench.replies[0] is not None
    assert ('X-Draining', 'yes') in bench.replies[0].headers
