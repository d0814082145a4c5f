"""Records of the requests and VMs of a scenario."""

from dataclasses import dataclass, field
from uuid import UUID

from nutmegstep.engine import EngineState
from nutmegstep.engine.events import Event
from nutmegstep.model import Answer, OneShotRequest
from nutmegstep.verdict import Refusal

__all__ = ['CallerRequest', 'Vm']


@dataclass
class CallerRequest:
    """A caller's request and the reply to it.

    `arrived` and `replied` are monotonic times in seconds. `gone` says whether
    the caller has closed its connection.
    """

    name: str
    vm: str
    arrived: float
    key: UUID | None = None
    record: str | None = None
    body: bytes = b''
    reply: Answer | Refusal | None = None
    replied: float = 0
    gone: bool = False


@dataclass
class Vm:
    """One entry process.

    While it is paused, its events wait in `deferred_events`.
    """

    name: str
    engine: EngineState
    incarnation: int
    paused: bool = False
    drained: bool = False
    deferred_events: list[Event] = field(default_factory=list)
    requests_by_query: dict[int, OneShotRequest] = field(default_factory=dict)
