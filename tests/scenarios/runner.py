"""Runs the steps of a scenario against a simulated deployment."""

from collections.abc import Callable
from types import MappingProxyType

from nutmegstep.engine.events import (
    CallerDisconnected,
    CatalogueChanged,
    ControlChanged,
    DrainStarted,
    FleetChanged,
    LeasesChanged,
    TargetReportedWarm,
)
from nutmegstep.model import Answer
from nutmegstep.verdict import Refusal
from tests.scenarios.invariants import check_all
from tests.scenarios.language import (
    Expectation,
    RequestStep,
    Scenario,
    Step,
    TargetStep,
)
from tests.scenarios.layout import make_version
from tests.scenarios.world import World

__all__ = ['run_scenario', 'start_world']

_SETTLE_SECONDS = 30


def start_world(scenario: Scenario, seed: int = 1) -> World:
    """Return a world whose VMs have the configuration and the index version.

    The targets are warm unless the scenario has a cold start.
    """
    world = World(scenario.layout.to_layout(), seed)
    fleet = world.fleet()
    version = make_version(world.layout, world.layout.version)
    world.shards_by_version[version.number] = set(version.shards_by_name)
    for vm in world.vms_by_name:
        world.dispatch(vm, FleetChanged(fleet))
        world.dispatch(vm, CatalogueChanged('index', (version,)))
        if not scenario.cold_start:
            for target in world.targets_by_name.values():
                world.dispatch(
                    vm, TargetReportedWarm(target.name, target.boot_id)
                )
    for target in world.targets_by_name.values():
        target.cold = scenario.cold_start
    return world


def run_scenario(scenario: Scenario, seed: int = 1) -> World:
    """Run all steps, then whatever is due in the 30 s after them.

    Returns
    -------
    World
        Final state, with the transcript of all messages.
    """
    world = start_world(scenario, seed)

    def check() -> None:
        check_all(world)

    for step in scenario.steps:
        if step.at_ms is not None:
            world.run_until(step.at_ms / 1000, check)
        apply_step(world, step)
        check()
    world.run_until(world.now + _SETTLE_SECONDS, check)
    return world


def apply_step(world: World, step: Step) -> None:
    """Perform the action of a step at the present time."""
    for name in sorted(step.model_fields_set - {'at_ms'}):
        argument = getattr(step, name)
        if argument is not None:
            _ACTION_BY_NAME[name](world, argument)


def _ask(world: World, ask: RequestStep) -> None:
    for number in range(ask.times):
        name = f'{ask.name}{number}' if ask.times > 1 else ask.name
        if ask.once or ask.repeat_of:
            world.send_one_shot(
                name, ask.vm, ask.timeout_ms / 1000, ask.repeat_of
            )
        else:
            text = ask.name if ask.same else None
            world.send_query(
                name, ask.vm, ask.timeout_ms / 1000, ask.record, text
            )


def _change_targets(world: World, change: TargetStep) -> None:
    for name in change.names:
        target = world.targets_by_name[name]
        if change.behaviour is not None:
            target.behaviour = change.behaviour
        if change.latency_ms is not None:
            target.latency = change.latency_ms / 1000
        if change.versions is not None:
            target.versions = tuple(change.versions)
        if change.cold is not None:
            target.cold = change.cold
            target.max_cold_load = 0
        if change.restart:
            world.restart(name)


def _platform(world: World, mode: str) -> None:
    if mode == 'lose_answer':
        world.cluster.lost_answers += 1
    else:
        world.cluster.platform_down = mode == 'down'


def _withdraw(world: World, domains_by_vm: dict[str, list[str]]) -> None:
    for vm, domains in domains_by_vm.items():
        world.withdrawn_by_vm[vm] = frozenset(domains)
        for domain in ('domain-0', 'domain-1'):
            world.withdrawn_at.pop((vm, domain), None)
        for domain in domains:
            world.withdrawn_at[(vm, domain)] = world.now
        _send_control(world, vm)


def _drain_targets(world: World, targets_by_vm: dict[str, list[str]]) -> None:
    for vm, targets in targets_by_vm.items():
        world.draining_by_vm[vm] = frozenset(targets)
        for target in world.targets_by_name:
            world.draining_at.pop((vm, target), None)
        for target in targets:
            world.draining_at[(vm, target)] = world.now
        _send_control(world, vm)


def _send_control(world: World, vm: str) -> None:
    world.dispatch(
        vm,
        ControlChanged(
            world.withdrawn_by_vm.get(vm, frozenset()),
            world.draining_by_vm.get(vm, frozenset()),
        ),
    )


def _publish(world: World, generation_by_vm: dict[str, int]) -> None:
    for vm, generation in generation_by_vm.items():
        world.generation = generation - 1
        world.dispatch(vm, FleetChanged(world.fleet()))


def _catalogue(world: World, shards_by_version: dict[int, int]) -> None:
    versions = tuple(
        make_version(world.layout, number, shards)
        for number, shards in sorted(shards_by_version.items())
    )
    for version in versions:
        world.shards_by_version[version.number] = set(version.shards_by_name)
    for vm in world.vms_by_name:
        world.dispatch(vm, CatalogueChanged('index', versions))


def _allow(world: World, seconds_by_vm: dict[str, dict[str, float]]) -> None:
    for vm, seconds_by_target in seconds_by_vm.items():
        until = {
            target: world.now + seconds
            for target, seconds in seconds_by_target.items()
        }
        world.dispatch(vm, LeasesChanged(until))


def _warm(world: World, targets_by_vm: dict[str, list[str]]) -> None:
    for vm, targets in targets_by_vm.items():
        for name in targets:
            boot_id = world.targets_by_name[name].boot_id
            world.dispatch(vm, TargetReportedWarm(name, boot_id))


def _close_idle(world: World, targets_by_vm: dict[str, list[str]]) -> None:
    for vm, targets in targets_by_vm.items():
        for name in targets:
            world.close_idle(vm, name)


def _lose_connections(
    world: World,
    targets_by_vm: dict[str, list[str]],
) -> None:
    for vm, targets in targets_by_vm.items():
        for name in targets:
            world.lose_connections(vm, name)


def _drain_vm(world: World, vm: str) -> None:
    world.dispatch(vm, DrainStarted())


def _caller_gone(world: World, name: str) -> None:
    caller_request = world.caller_requests_by_name[name]
    caller_request.gone = True
    world.dispatch(caller_request.vm, CallerDisconnected(world.query_id(name)))


def _expect(world: World, expected: Expectation) -> None:
    caller_request = world.caller_requests_by_name[expected.name]
    reply = caller_request.reply
    if expected.outcome == 'none':
        assert reply is None, f'{caller_request.name} was told {reply}'
    elif expected.outcome == 'answer':
        assert isinstance(reply, Answer), (
            f'{caller_request.name} was told {reply}'
        )
        _expect_answer(expected, reply)
    else:
        assert isinstance(reply, Refusal), (
            f'{caller_request.name} was told {reply}'
        )
        _expect_refusal(expected, reply)
    if expected.within_ms is not None:
        elapsed = (caller_request.replied - caller_request.arrived) * 1000
        assert elapsed <= expected.within_ms, (
            f'{caller_request.name}: {elapsed} ms'
        )
    if expected.runs is not None:
        assert world.executions(caller_request.body) == expected.runs


def _expect_answer(expected: Expectation, answer: Answer) -> None:
    if expected.version is not None:
        assert answer.index_version == expected.version
    if expected.covered is not None:
        assert len(answer.covered) == expected.covered
    if expected.lacking is not None:
        assert [lack.name for lack in answer.lacking] == expected.lacking


def _expect_refusal(expected: Expectation, refusal: Refusal) -> None:
    if expected.reason is not None:
        assert refusal.reason.value == expected.reason
    if expected.verdict is not None:
        assert refusal.verdict.value == expected.verdict
    if expected.attempt_verdict is not None:
        assert refusal.attempt_verdict.value == expected.attempt_verdict


def _most_sends(world: World, limit: int) -> None:
    assert world.sent <= limit, f'{world.sent} target requests'


_ACTION_BY_NAME: MappingProxyType[str, Callable[..., None]] = MappingProxyType(
    {
        'ask': _ask,
        'targets': _change_targets,
        'platform': _platform,
        'pause': World.pause,
        'resume': World.resume,
        'lose': World.lose,
        'drain_vm': _drain_vm,
        'caller_gone': _caller_gone,
        'withdraw': _withdraw,
        'drain_targets': _drain_targets,
        'publish': _publish,
        'catalogue': _catalogue,
        'allow': _allow,
        'warm': _warm,
        'close_idle': _close_idle,
        'lose_connections': _lose_connections,
        'expect': _expect,
        'most_sends': _most_sends,
    }
)
