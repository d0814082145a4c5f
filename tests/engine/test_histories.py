"""Random sequences of events, with every effect checked."""

from dataclasses import dataclass, field
from random import Random
from typing import Any
from uuid import UUID

import pytest

from nutmegstep.engine import events as ev
from nutmegstep.model import IdempotentQuery, OneShotRequest, SendPermit

DOMAINS = ('domain-0', 'domain-1', 'domain-2')


@dataclass
class History:
    """Draws random events and checks the effects of each.

    Parameters
    ----------
    engine : Engine
        Reducer under test.
    random : random.Random
        Source of the events.
    now : float
        Current time in seconds.
    waiting : set of int
        Requests without a reply.
    sent : dict
        Target requests in flight by attempt identifier.
    timers : dict
        Time at which each timer expires.
    claims : dict
        Idempotency keys of the claims that are not decided.
    may_have_run : set of int
        One-shot requests that a target may have executed.
    withdrawn : frozenset of str
        Withdrawn failure domains.
    """

    engine: Any
    random: Random
    now: float = 0
    waiting: set[int] = field(default_factory=set)
    sent: dict[int, Any] = field(default_factory=dict)
    timers: dict[Any, float] = field(default_factory=dict)
    claims: dict[int, UUID] = field(default_factory=dict)
    may_have_run: set[int] = field(default_factory=set)
    withdrawn: frozenset[str] = frozenset()

    def apply(self, event) -> None:
        """Apply an event and check its effects."""
        for effect in self.engine.apply(event, self.now):
            check = getattr(self, f'on_{type(effect).__name__}', None)
            if check is not None:
                check(effect)

    def on_SendToTarget(self, effect) -> None:
        """Check the failure domain (G4), the deadline and the permit (G7).

        A one-shot request that may have run must not be sent again.
        """
        targets = self.engine.state.fleet.targets_by_name
        domain = targets[effect.target].failure_domain
        assert domain not in self.withdrawn
        assert effect.deadline > self.now
        self.sent[effect.attempt_id] = effect
        if effect.permit:
            assert effect.query_id not in self.may_have_run
            self.may_have_run.add(effect.query_id)

    def on_CancelAttempt(self, effect) -> None:
        """Remove an attempt, which must be in flight."""
        del self.sent[effect.attempt_id]

    def on_SetTimer(self, effect) -> None:
        """Record a timer."""
        self.timers[effect.timer] = effect.at

    def on_CancelTimer(self, effect) -> None:
        """Remove a timer."""
        self.timers.pop(effect.timer, None)

    def on_RequestClaim(self, effect) -> None:
        """Record a claim that must be decided."""
        self.claims[effect.query_id] = effect.idempotency_key

    def on_ReplyAnswer(self, effect) -> None:
        """Check that all results are of the version of the answer (G1)."""
        answer = effect.answer
        expected = str(answer.index_version).encode()
        assert set(answer.results_by_shard.values()) == {expected}
        self.waiting.remove(effect.query_id)

    def on_ReplyRefusal(self, effect) -> None:
        """Check that a request gets only one reply."""
        self.waiting.remove(effect.query_id)

    def step(self, number) -> None:
        """Apply one random event and the timers that are due."""
        self.now += self.random.random() / 50
        kind = self.random.choice(
            (
                self.arrive,
                self.finish_attempt,
                self.finish_attempt,
                self.change_control,
            )
        )
        kind(number)
        self.expire_timers(self.now)

    def expire_timers(self, until) -> None:
        """Apply the expiry of the timers that are due."""
        due = [key for key, at in self.timers.items() if at <= until]
        for timer in due:
            if self.timers.pop(timer, None) is not None:
                self.apply(ev.TimerFired(timer))

    def arrive(self, number) -> None:
        """Apply the arrival of a query or a one-shot request."""
        self.waiting.add(number)
        if number % 4:
            body = self.random.choice((b'same', str(number).encode()))
            query = IdempotentQuery('r', 'stock', body, self.now + 1)
            self.apply(ev.QueryArrived(number, query))
            return
        key = UUID(int=number)
        request = OneShotRequest('r', 'stock', 'k', key, b'', self.now + 1)
        self.apply(ev.OneShotArrived(number, request))

    def finish_attempt(self, number) -> None:
        """Apply the answer or failure of a random attempt."""
        if not self.sent:
            return
        attempt_id = self.random.choice(list(self.sent))
        send = self.sent.pop(attempt_id)
        version = send.index_version + self.random.choice((0, 0, 0, 1))
        body = str(version).encode()
        event = ev.TargetAnswered(attempt_id, version, 'b', body)
        if self.random.choice((True, False)):
            failure = self.random.choice(list(ev.FailureKind))
            ran = self.random.choice((True, False))
            event = ev.TargetFailed(attempt_id, failure, ran, (1,))
            if not ran:
                self.may_have_run.discard(send.query_id)
        self.apply(event)

    def change_control(self, number) -> None:
        """Withdraw or restore a failure domain, and grant a claim."""
        domains = self.random.sample(DOMAINS, self.random.choice((0, 0, 1)))
        self.withdrawn = frozenset(domains)
        self.apply(ev.ControlChanged(self.withdrawn, frozenset()))
        if self.claims:
            query_id, key = self.claims.popitem()
            self.apply(ev.ClaimWon(query_id, SendPermit(key, b'')))


@pytest.mark.parametrize('seed', range(30))
def test_random_histories_keep_the_guarantees(build, seed) -> None:
    """Guards against violations that only certain orders of events cause.

    These are answers of several index versions, second sends of one-shot
    requests, requests to withdrawn failure domains, lost or repeated replies
    and a drain that does not finish.
    """
    history = History(build(), Random(seed))
    history.engine.publish_versions(1, 2)
    for number in range(200):
        history.step(number)
    history.apply(ev.DrainStarted())
    while history.claims:
        history.change_control(0)
    history.now += 5
    history.expire_timers(history.now)
    state = history.engine.state
    assert not history.waiting
    assert state.drain_finished
    assert not state.attempts_by_id
    assert not any(state.admission.active_by_service.values())
