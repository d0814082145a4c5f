"""Tests of the target stand-in with timers that the test fires."""

from collections.abc import Callable
from random import Random

import pytest

from nutmegstep.standins import TargetRequest, TargetSettings, TargetStandIn
from nutmegstep.standins.target import Job
from nutmegstep.web import HttpResponse


class _ScheduledCall:
    """A scheduled call."""

    def __init__(self, action: Callable[[Job], None], job: Job) -> None:
        self.action = action
        self.job = job
        self.cancelled = False

    def cancel(self) -> None:
        """Prevent the call."""
        self.cancelled = True


class _Timers:
    """Timers that fire in order of scheduling, whatever their delay."""

    def __init__(self) -> None:
        self.pending: list[_ScheduledCall] = []

    def call_later(
        self,
        seconds: float,
        action: Callable[[Job], None],
        job: Job,
    ) -> _ScheduledCall:
        """Schedule a call; the delay is ignored."""
        self.pending.append(_ScheduledCall(action, job))
        return self.pending[-1]

    def fire(self) -> None:
        """Make every call scheduled so far that is not cancelled."""
        scheduled = [handle for handle in self.pending if not handle.cancelled]
        self.pending = []
        for handle in scheduled:
            handle.action(handle.job)


class _TargetHarness:
    """A target stand-in with its timers and its replies in order."""

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
        """Submit a request for shard ``a``."""
        request = TargetRequest('7', 'a', version, body)
        return self.target.submit(request, self.replies.append)

    @property
    def statuses(self) -> list[int | None]:
        """Status of each reply; None for a reset."""
        return [reply and reply.status for reply in self.replies]


def test_requests_beyond_slots_and_queue_are_shed_unexecuted() -> None:
    """Guards against an unbounded queue.

    Overload would then show as long waits instead of refusals.
    """
    harness = _TargetHarness(slots=1)
    for _ in range(4):
        harness.send()
    assert harness.statuses == [503]
    assert harness.replies[0] is not None
    assert ('X-Executed', 'no') in harness.replies[0].headers
    for _ in range(3):
        harness.timers.fire()
    assert harness.statuses == [503, 200, 200, 200]
    assert harness.target.counts.executed == 3


def test_closed_connection_frees_the_slot() -> None:
    """Guards against a slot that stays occupied by an abandoned request.

    The connection of the running request closes while another one waits.
    """
    harness = _TargetHarness(slots=1)
    first = harness.send()
    harness.send()
    harness.target.cancel(first)
    harness.timers.fire()
    assert harness.statuses == [200]
    assert harness.target.counts.ended_early == 1
    assert harness.target.counts.executed == 1


def test_cold_target_records_peak_load_and_becomes_warm() -> None:
    """Guards against overload of a cold target that `cold_peak` misses, and
    against a target that stays cold after enough executions.
    """
    harness = _TargetHarness(slots=3, warm_after=2)
    harness.target.turn_cold()
    harness.target.faults.cold_fails = True
    harness.send()
    harness.send()
    assert harness.statuses == [500]
    assert harness.target.counts.cold_peak == 2
    harness.timers.fire()
    harness.send()
    harness.timers.fire()
    assert not harness.target.cold


@pytest.mark.parametrize(
    ('fault', 'executed', 'status'),
    [('resets_before', 0, None), ('resets_after', 1, None)],
)
def test_reset_before_or_after_execution_is_counted_as_such(
    fault: str,
    executed: int,
    status: int | None,
) -> None:
    """Guards against a wrong count of executions of a marked request.

    The caller sees a reset in both cases; only the second one executed.
    """
    harness = _TargetHarness()
    setattr(harness.target.faults, fault, 1)
    harness.send(body=b'{"marker": "m-1"}')
    harness.timers.fire()
    assert harness.statuses == [status]
    assert harness.target.counts.executions_by_marker['m-1'] == executed


def test_unknown_version_is_refused_with_the_versions_held() -> None:
    """Guards against an answer from another index version.

    The request names a version that the target does not hold.
    """
    harness = _TargetHarness()
    harness.send(version=5)
    assert harness.statuses == [409]
    assert harness.replies[0] is not None
    assert ('Index-Versions', '4') in harness.replies[0].headers


@pytest.mark.parametrize(
    ('fault', 'header'),
    [
        ('wrong_identifiers', ('X-Request-Id', '70')),
        ('wrong_versions', ('Index-Version', '5')),
    ],
)
def test_wrong_header_is_sent_once_for_each_fault(
    fault: str,
    header: tuple[str, str],
) -> None:
    """Guards against a counted fault that also affects later answers."""
    harness = _TargetHarness()
    setattr(harness.target.faults, fault, 1)
    harness.send()
    harness.send()
    harness.timers.fire()
    wrong = [reply and header in reply.headers for reply in harness.replies]
    assert wrong == [True, False]


def test_draining_target_refuses_with_its_header() -> None:
    """Guards against a draining target that accepts new requests."""
    harness = _TargetHarness()
    harness.target.faults.draining = True
    harness.send()
    assert harness.replies[0] is not None
    assert ('X-Draining', 'yes') in harness.replies[0].headers
