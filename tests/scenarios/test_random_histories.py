"""Random sequences of steps, checked against the guarantees of scenarios.

`make fuzz` runs more and longer histories. A history that fails is printed
as the steps of a scenario file.
"""

import os
from typing import Any

import pytest
import yaml
from hypothesis import note, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from nutmegstep.model import CoverageRule
from tests.scenarios.invariants import check_all
from tests.scenarios.language import LayoutModel, Scenario, Step
from tests.scenarios.runner import apply_step, start_world
from tests.scenarios.world import World

_EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '40'))
_STEPS = int(os.environ.get('FUZZ_STEPS', '30'))
_SEED = int(os.environ.get('FUZZ_SEED', '20261204'))

_TARGETS = ('t00', 't01', 't10', 't11')
_BEHAVIOURS = (
    'ok',
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
)
_VMS = ('vm0', 'vm1')
# Time after the expiry of a lease for which no other VM gets one, in seconds.
_LEASE_MARGIN_SECONDS = 2.0
_RAMP_SECONDS = 3600.0
_vms = st.sampled_from(_VMS)
_domains = st.sampled_from([[], [], ['domain-0'], ['domain-1']])


class Histories(RuleBasedStateMachine):
    """Applies faults of every kind in any order to two VMs and four targets."""

    world: World

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[dict[str, Any]] = []
        self.one_shots: list[str] = []
        self.request_count = 0
        self.version = 41

    @initialize(
        coverage=st.sampled_from(CoverageRule),
        slots=st.integers(1, 3),
        cold=st.booleans(),
    )
    def start(self, coverage: CoverageRule, slots: int, *, cold: bool) -> None:
        """Build the world, with warm or cold targets."""
        layout = LayoutModel(
            coverage=coverage,
            slots=slots,
            # The ramp is longer than any history, so a cold target may at no
            # time receive more than `cold_slots` requests (G3).
            ramp_seconds=_RAMP_SECONDS,
        )
        note(f'layout: {layout.model_dump(mode="json")}, cold_start: {cold}')
        self.world = start_world(
            Scenario(
                guards_against='random faults',
                guarantees=[],
                layout=layout,
                cold_start=cold,
                steps=[],
            ),
        )

    def step(self, **action: Any) -> None:
        """Apply a step and record it for the report of a failure."""
        self.steps.append(action)
        apply_step(self.world, Step.model_validate(action))

    @rule(
        vm=_vms,
        timeout=st.sampled_from([50, 400, 1500]),
        times=st.sampled_from([1, 1, 5]),
    )
    def ask(self, vm: str, timeout: int, times: int) -> None:
        """Send one query, or several at once."""
        self.request_count += 1
        name = f'q{self.request_count}n'
        self.step(
            ask={'name': name, 'vm': vm, 'timeout_ms': timeout, 'times': times},
        )

    @rule(vm=_vms, timeout=st.sampled_from([50, 400, 1500]))
    def ask_once(self, vm: str, timeout: int) -> None:
        """Send a one-shot request."""
        self.request_count += 1
        name = f'o{self.request_count}'
        self.one_shots.append(name)
        self.step(
            ask={'name': name, 'vm': vm, 'timeout_ms': timeout, 'once': True},
        )

    @rule(vm=_vms, position=st.integers(0, 20))
    def repeat(self, vm: str, position: int) -> None:
        """Repeat a one-shot request at some VM."""
        if self.one_shots:
            first = self.one_shots[position % len(self.one_shots)]
            self.request_count += 1
            name = f'r{self.request_count}'
            self.step(ask={'name': name, 'vm': vm, 'repeat_of': first})

    @rule(
        name=st.sampled_from(_TARGETS),
        behaviour=st.sampled_from(_BEHAVIOURS),
        latency=st.sampled_from([1, 20, 300]),
    )
    def change_target(self, name: str, behaviour: str, latency: int) -> None:
        """Change the behaviour and the latency of a target."""
        self.step(
            targets={
                'names': [name],
                'behaviour': behaviour,
                'latency_ms': latency,
            },
        )

    @rule(names=st.sets(st.sampled_from(_TARGETS), min_size=1))
    def restart(self, names: set[str]) -> None:
        """Restart targets, which are cold afterwards."""
        self.step(
            targets={'names': sorted(names), 'restart': True, 'cold': True},
        )

    @rule(name=st.sampled_from(_TARGETS))
    def lose_connections(self, name: str) -> None:
        """Close the connections to a target that does not restart."""
        self.step(lose_connections={vm: [name] for vm in _VMS})

    @rule(names=st.sets(st.sampled_from(_TARGETS), min_size=1))
    def become_warm(self, names: set[str]) -> None:
        """Make targets warm and report them as warm to all VMs."""
        self.step(targets={'names': sorted(names), 'cold': False})
        self.step(warm={vm: sorted(names) for vm in _VMS})

    @rule(names=st.sets(st.sampled_from(_TARGETS), min_size=1))
    def new_version(self, names: set[str]) -> None:
        """Publish an index version that some targets hold besides the last."""
        self.version += 1
        versions = {self.version - 1: 2, self.version: 2}
        self.step(catalogue=versions)
        self.step(targets={'names': sorted(names), 'versions': list(versions)})

    @rule(mode=st.sampled_from(['up', 'down', 'lose_answer']))
    def platform(self, mode: str) -> None:
        """Make the platform available or unavailable, or lose one answer."""
        self.step(platform=mode)

    @rule(vm=_vms)
    def pause(self, vm: str) -> None:
        """Pause a VM, or resume a paused one."""
        paused = self.world.vms_by_name[vm].paused
        self.step(**{'resume' if paused else 'pause': vm})

    @rule(vm=_vms, domains=_domains)
    def withdraw(self, vm: str, domains: list[str]) -> None:
        """Withdraw failure domains on a VM."""
        if not self.world.vms_by_name[vm].paused:
            self.step(withdraw={vm: domains})

    @rule(vm=_vms, names=st.sets(st.sampled_from(_TARGETS)))
    def drain_targets(self, vm: str, names: set[str]) -> None:
        """Drain targets on a VM."""
        if not self.world.vms_by_name[vm].paused:
            self.step(drain_targets={vm: sorted(names)})

    @rule(vm=_vms, seconds=st.sampled_from([0, 0.2, 3]))
    def allow(self, vm: str, seconds: float) -> None:
        """Give leases for all targets to one VM unless the other may hold some."""
        other = _VMS[1 - _VMS.index(vm)]
        leases_over = (
            self.world.lease_expiry_by_vm.get(other, 0) + _LEASE_MARGIN_SECONDS
        )
        if (
            self.world.now >= leases_over
            and not self.world.vms_by_name[vm].paused
        ):
            self.world.lease_expiry_by_vm[vm] = self.world.now + seconds
            self.step(allow={vm: dict.fromkeys(_TARGETS, seconds)})

    @rule(milliseconds=st.sampled_from([1, 4, 30, 200, 1200, 6000]))
    def wait(self, milliseconds: int) -> None:
        """Advance the clock and deliver the events that are due."""
        at_ms = self.world.now * 1000 + milliseconds
        self.steps.append({'at_ms': at_ms})
        self.world.run_until(at_ms / 1000, lambda: check_all(self.world))

    @invariant()
    def guarantees(self) -> None:
        """Check every guarantee."""
        if hasattr(self, 'world'):
            check_all(self.world)

    def teardown(self) -> None:
        """Attach the history, as steps of a scenario, to a failure report."""
        note(_Report(self.steps))


class _Report:
    """Formats the steps only when a failing history is printed."""

    def __init__(self, steps: list[dict[str, Any]]) -> None:
        self._steps = steps

    def __repr__(self) -> str:
        """Return the steps of a scenario file."""
        return yaml.safe_dump({'steps': self._steps})


_TEST_SECONDS = 900

TestHistories = pytest.mark.timeout(_TEST_SECONDS)(
    seed(_SEED)(Histories.TestCase),
)
TestHistories.settings = settings(
    max_examples=_EXAMPLES,
    stateful_step_count=_STEPS,
    deadline=None,
    database=None,
)
