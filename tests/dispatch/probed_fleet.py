"""Fleet whose targets crash when they run one of the requests, and its probes."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from nutmegstep.dispatch.content import content_digest
from nutmegstep.dispatch.control_events import CrashRecord
from nutmegstep.dispatch.effects import Decision
from tests.dispatch.crashing import make_request
from tests.dispatch.crashing_fleet import CrashingFleet

__all__ = ['ProbedFleet']

_RESTRICTING_CRASHES: Final = 3
_PROBE_SECONDS: Final = 0.025
"""Time from the start of a probe in which its target still runs it."""


@dataclass
class ProbedFleet(CrashingFleet):
    """Fleet that records its probes.

    Parameters
    ----------
    on_probe : Callable
        Called while a probe runs, with the number of probes until then.
    """

    probed_at: list[float] = field(default_factory=list)
    on_probe: Callable[[int], None] = int

    def restrict(self, path: str, service: str) -> None:
        """Let all VMs know of as many crashes in a row as restrict a request."""
        content = content_digest(make_request(0, path, 0))
        for number in range(_RESTRICTING_CRASHES):
            self.store(CrashRecord(content, f'i-{number}', number + 1, service))

    def _perform_by_effect(self) -> dict[type, Callable[..., None]]:
        known = super()._perform_by_effect()
        return {**known, Decision: self._record_probe}

    def _record_probe(self, _vm: int, effect: Decision) -> None:
        if effect.name != 'probe':
            return
        self.probed_at.append(self.timeline.now)
        self.timeline.later(
            _PROBE_SECONDS, partial(self.on_probe, len(self.probed_at))
        )
