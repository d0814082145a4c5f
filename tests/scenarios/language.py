"""The scenario language: YAML files checked by models.

A file has a line that says which failure it guards against, the guarantees
that it is about, a layout and a list of steps. Each step has one action and
an optional time in milliseconds at which it happens. docs/testing.md lists
the actions.
"""

from pathlib import Path
from typing import Annotated, Any, Literal

import yaml
from pydantic import BaseModel, ConfigDict, Field

from nutmegstep.model import CoverageRule, WorkClass
from tests.scenarios.layout import Layout

__all__ = ['Expectation', 'Scenario', 'Step', 'load_scenario']

Behaviour = Literal[
    'ok',
    'silent',
    'reset_before',
    'reset_after',
    'connect',
    'shed',
    'draining',
    'invalid',
    'error',
    'wrong_version',
    'crossed',
]


class _Strict(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class LayoutModel(_Strict):
    """Layout of the configuration."""

    shards: int = 2
    replicas: int = 2
    slots: int = 4
    cold_slots: int = 1
    vms: int = 2
    coverage: CoverageRule = CoverageRule.WHOLE
    work_class: WorkClass = WorkClass.INTERACTIVE
    ramp_seconds: float = 1

    def to_layout(self) -> Layout:
        """Return the layout for a world."""
        return Layout(**self.model_dump())


class Ask(_Strict):
    """A caller's request."""

    name: str
    vm: str = 'vm0'
    timeout_ms: float = 1000
    record: str | None = None
    once: bool = False
    repeat_of: str | None = None
    times: int = 1
    same: bool = False


class TargetStep(_Strict):
    """Changes the behaviour of targets."""

    names: list[str]
    behaviour: Behaviour | None = None
    latency_ms: float | None = None
    versions: list[int] | None = None
    cold: bool | None = None
    restart: bool = False


class Expectation(_Strict):
    """What a request was told."""

    name: str
    outcome: Literal['answer', 'refusal', 'none']
    reason: str | None = None
    verdict: str | None = None
    attempt_verdict: str | None = None
    version: int | None = None
    covered: int | None = None
    lacking: list[str] | None = None
    within_ms: float | None = None
    runs: int | None = None


class Step(_Strict):
    """One step; exactly one action is set."""

    at_ms: Annotated[float, Field(ge=0)] | None = None
    ask: Ask | None = None
    targets: TargetStep | None = None
    platform: Literal['up', 'down', 'lose_answer'] | None = None
    pause: str | None = None
    resume: str | None = None
    lose: str | None = None
    drain_vm: str | None = None
    caller_gone: str | None = None
    withdraw: dict[str, list[str]] | None = None
    drain_targets: dict[str, list[str]] | None = None
    publish: dict[str, int] | None = None
    catalogue: dict[int, int] | None = None
    allow: dict[str, dict[str, float]] | None = None
    warm: dict[str, list[str]] | None = None
    close_idle: dict[str, list[str]] | None = None
    lose_connections: dict[str, list[str]] | None = None
    expect: Expectation | None = None
    most_sends: int | None = None


class Scenario(_Strict):
    """One scenario file."""

    guards_against: str
    guarantees: list[str]
    layout: LayoutModel = LayoutModel()
    cold_start: bool = False
    steps: list[Step]


def load_scenario(path: Path) -> Scenario:
    """Read a scenario file.

    Raises
    ------
    pydantic.ValidationError
        Names the field that is not allowed.
    """
    document: Any = yaml.safe_load(path.read_text())
    return Scenario.model_validate(document)
