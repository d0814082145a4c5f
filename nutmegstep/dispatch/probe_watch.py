"""Other targets that are watched while a target runs a probe.

Only the target of a probe runs restricted content, so the content cannot have ended
another one in the same second. An outage can have ended both.
"""

import math
from collections.abc import Set
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.control_events import CrashRecord
from nutmegstep.dispatch.requests import OpenRequest

__all__ = ['ProbeWatch']

_MIN_LOST: Final = 2
"""Other targets that an outage has ended at least, if any targets of the service
are left. A single one may have another cause."""


@dataclass(slots=True)
class ProbeWatch:
    """What is known of other targets since the start of a probe.

    Attributes
    ----------
    open_request : OpenRequest
        Request that is the probe.
    target : TargetRecord
        First target that it was sent to.
    bystander_by_id : dict
        Other targets of the same service or failure domain, by identifier.
    listening : set of str
        Identifiers of those that have accepted a connection.
    refusing : set of str
        Identifiers of those that have refused every connection.
    lost : set of str
        Identifiers of those that have refused a connection after they had
        accepted one.
    crash : CrashRecord or None
        Crash of the probe; None while its target is running.
    decide_at : float
        Monotonic time in seconds at which the cause of the crash is decided.
    """

    open_request: OpenRequest
    target: TargetRecord
    bystander_by_id: dict[str, TargetRecord] = field(default_factory=dict)
    listening: set[str] = field(default_factory=set)
    refusing: set[str] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)
    crash: CrashRecord | None = None
    decide_at: float = math.inf

    def record_check(self, target_id: str, *, is_listening: bool) -> None:
        """Record whether a target accepts connections."""
        if target_id not in self.bystander_by_id:
            return
        if is_listening:
            self.listening.add(target_id)
            self.refusing.discard(target_id)
        elif target_id in self.listening:
            self.lost.add(target_id)
        else:
            self.refusing.add(target_id)

    @property
    def is_in_outage(self) -> bool:
        """Whether targets that did not run the probe have ended as well.

        These are several targets, or all others of the service. Those that have
        never listened may have ended before they were known.
        """
        if len(self.lost - self._ran) >= _MIN_LOST:
            return True
        peers = self._peers
        listening = peers & self.listening
        if listening:
            return listening <= self.lost
        return bool(peers & self.refusing)

    @property
    def _ran(self) -> Set[str]:
        """Targets that the request was sent to."""
        return frozenset().union(
            *(part.tried_targets for part in self.open_request.parts)
        )

    @property
    def _peers(self) -> Set[str]:
        """Other targets of the service whose target has crashed."""
        service = '' if self.crash is None else self.crash.service
        peers = frozenset(
            target_id
            for target_id, target in self.bystander_by_id.items()
            if target.service == service
        )
        return peers - self._ran
