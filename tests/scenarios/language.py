"""Models of scenario files, which are written in YAML.

A file names the failure that it guards against and the guarantees that it
tests, and has a layout and a list of steps. Each step has one action and an
optional time in milliseconds at which it happens. docs/testing.md lists the
actions.
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
    """Size and limits of the deployment of a scenario."""

    shards: int = 2
    replicas: int = 2
    slots: int = 4
    cold_slots: int = 1
    vms: int = 2
    coverage: CoverageRule = CoverageRule.WHOLE
    work_class: WorkClass = WorkClass.INTERACTIVE
    ramp_seconds: float = 1

    def to_layout(self) -> Layout:
        """Return the layout from which a `World` is built."""
        return Layout(**self.model_dump())


class RequestStep(_Strict):
    """Sends one request of a caller, or several at once.

    `once` sends a one-shot request, `repeat_of` one with the key of an earlier
    request, and `record` a look-up. `times` sends several requests, which are
    identical if `same` is set.
    """

    name: str
    vm: str = 'vm0'
    timeout_ms: float = 1000
    record: str | None = None
    once: bool = False
    repeat_of: str | None = None
    times: int = 1
    same: bool = False


class TargetStep(_Strict):
    """Changes the state or the behaviour of targets."""

    names: list[str]
    behaviour: Behaviour | None = None
    latency_ms: float | None = None
    versions: list[int] | None = None
    cold: bool | None = None
    restart: bool = False


class Expectation(_Strict):
    """Expected reply to a request; fields that are not set match anything."""

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
    ask: RequestStep | None = None
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
        A field is unknown or has an invalid value.
    """
    document: Any = yaml.safe_load(path.read_text())
    return Scenario.model_validate(document)
