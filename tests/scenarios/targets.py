"""Fake targets that answer engine effects with engine events."""

from collections import Counter
from dataclasses import dataclass, field
from types import MappingProxyType

import orjson

from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import (
    FailureKind,
    TargetAnswered,
    TargetFailed,
)

__all__ = ['FakeTarget', 'Outcome']

Outcome = TargetAnswered | TargetFailed


@dataclass
class FakeTarget:
    """A target whose behaviour a scenario chooses.

    `latency` is in seconds. `max_cold_load` is the maximum number of requests
    in flight since the target last became cold.
    """

    name: str
    failure_domain: str
    slots: int
    cold_slots: int
    versions: tuple[int, ...]
    behaviour: str = 'ok'
    latency: float = 0.005
    boot_count: int = 1
    cold: bool = False
    in_flight: set[tuple[str, int]] = field(default_factory=set)
    executions_by_body: Counter[bytes] = field(default_factory=Counter)
    max_cold_load: int = 0

    @property
    def boot_id(self) -> str:
        """Boot identifier that changes with each restart."""
        return f'{self.name}/{self.boot_count}'

    def receive(self, vm: str, effect: SendToTarget) -> Outcome | None:
        """Return the outcome of a request; None when the target is silent."""
        self.in_flight.add((vm, effect.attempt_id))
        if self.cold:
            self.max_cold_load = max(self.max_cold_load, len(self.in_flight))
        if self.behaviour == 'silent':
            return None
        if effect.index_version not in self.versions:
            return self._fail(effect, FailureKind.VERSION_GONE, ran=False)
        kind = _FAILURE_BY_BEHAVIOUR.get(self.behaviour)
        if self.behaviour == 'reset_after' or kind is None:
            self.executions_by_body[effect.body] += 1
        if kind is None:
            return self._answer(effect)
        return self._fail(effect, kind, ran=kind not in _NOT_EXECUTED)

    def finish(self, vm: str, attempt_id: int) -> None:
        """Forget a request that ended or whose connection closed."""
        self.in_flight.discard((vm, attempt_id))

    def _answer(self, effect: SendToTarget) -> TargetAnswered:
        version = effect.index_version
        if self.behaviour == 'wrong_version':
            version += 1
        document = {
            'shard': effect.shard,
            'version': version,
            'asked': orjson.Fragment(effect.body),
        }
        return TargetAnswered(
            effect.attempt_id,
            version,
            self.boot_id,
            orjson.dumps(document),
        )

    def _fail(
        self,
        effect: SendToTarget,
        kind: FailureKind,
        *,
        ran: bool,
    ) -> TargetFailed:
        return TargetFailed(
            effect.attempt_id,
            kind,
            ran,
            self.versions,
            self.boot_id,
        )


_FAILURE_BY_BEHAVIOUR = MappingProxyType(
    {
        'reset_before': FailureKind.RESET,
        'reset_after': FailureKind.RESET,
        'connect': FailureKind.CONNECT,
        'shed': FailureKind.SHED,
        'draining': FailureKind.DRAINING,
        'invalid': FailureKind.INVALID,
        'error': FailureKind.ERROR,
    }
)
_NOT_EXECUTED = frozenset(
    (
        FailureKind.CONNECT,
        FailureKind.SHED,
        FailureKind.DRAINING,
    )
)
