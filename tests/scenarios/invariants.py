"""Guarantees G1 to G10, checked after every step of every scenario."""

import orjson

from nutmegstep.engine.effects import SendToTarget
from nutmegstep.model import Answer
from nutmegstep.verdict import Refusal, Verdict
from tests.scenarios.records import CallerRequest
from tests.scenarios.world import World

__all__ = ['check_all']


def check_all(world: World) -> None:
    """Check every guarantee.

    Replies and target requests are checked once, when they are new. The state
    that these checks depend on changes later only by another reply or target
    request, which is then checked itself.

    Raises
    ------
    AssertionError
        A guarantee is broken; the message begins with its name.
    """
    replies = world.new_replies
    world.new_replies = []
    for caller_request, reply in replies:
        if isinstance(reply, Answer):
            _check_answer(world, caller_request, reply)
        else:
            _check_refusal(world, caller_request, reply)
    sends = world.new_sends
    world.new_sends = []
    for instant, vm, effect in sends:
        _check_send(world, instant, vm, effect)
    _check_cold_load(world)
    _check_generations(world)
    _check_drain(world)


def _check_answer(
    world: World, caller_request: CallerRequest, answer: Answer
) -> None:
    documents_by_shard = {
        shard: orjson.loads(found)
        for shard, found in answer.results_by_shard.items()
    }
    for shard, document in documents_by_shard.items():
        assert document['version'] == answer.index_version, 'G1: snapshot'
        assert document['shard'] == shard, 'G5: crossed shard'
        assert document['asked'] == orjson.loads(caller_request.body), (
            'G5: crossed'
        )
    names = {*answer.covered, *(lack.name for lack in answer.lacking)}
    counted = len(answer.covered) + len(answer.lacking)
    assert counted == len(names), 'G2: shard named twice'
    assert set(documents_by_shard) == set(answer.covered), 'G2: coverage'
    expected = set(world.shards_by_version[answer.index_version])
    if caller_request.key is None and not caller_request.record:
        assert names == expected, 'G2: shard missing from the answer'
    else:
        assert names <= expected, 'G2: unknown shard'


def _check_refusal(
    world: World, caller_request: CallerRequest, refusal: Refusal
) -> None:
    if refusal.verdict is not Verdict.NOT_RUN:
        return
    if caller_request.key is None:
        query = (caller_request.vm, world.query_id(caller_request.name))
        ran = any(
            caller_request.body
            in world.targets_by_name[effect.target].executions_by_body
            for effect in world.sends_by_query.get(query, ())
        )
        assert not ran, 'G6: refused as not run, but a target executed it'
    else:
        count = world.executions_at_reply.get(caller_request.name, 0)
        assert not count, 'G6: refused as not run, but a target executed it'


def _check_runs_once(world: World, caller_request: CallerRequest) -> None:
    assert world.executions(caller_request.body) <= 1, (
        'G7: one-shot request ran twice'
    )


def _check_cold_load(world: World) -> None:
    for target in world.targets_by_name.values():
        assert target.max_cold_load <= target.cold_slots, (
            f'G3: {target.name} had {target.max_cold_load} requests while '
            f'cold, {target.cold_slots} allowed'
        )


def _check_send(
    world: World,
    instant: float,
    vm: str,
    effect: SendToTarget,
) -> None:
    domain = world.targets_by_name[effect.target].failure_domain
    withdrawn_at = world.withdrawn_at.get((vm, domain))
    if withdrawn_at is not None:
        assert instant <= withdrawn_at, f'G4: work sent to {domain}'
    draining_at = world.draining_at.get((vm, effect.target))
    if draining_at is not None:
        assert instant <= draining_at, f'G8: work sent to {effect.target}'
    caller_request = world.caller_request_of(vm, effect.query_id)
    if caller_request.key is not None:
        _check_runs_once(world, caller_request)
    # A target request that is sent after the reply can make the verdict
    # `not run` of the reply false.
    if isinstance(caller_request.reply, Refusal):
        _check_refusal(world, caller_request, caller_request.reply)


def _check_generations(world: World) -> None:
    for vm in world.vms_by_name.values():
        generation = vm.engine.fleet.generation
        known = world.generation_by_vm.setdefault(vm.name, generation)
        assert generation >= known, 'G10: configuration reverted'
        world.generation_by_vm[vm.name] = generation


def _check_drain(world: World) -> None:
    for vm in world.vms_by_name.values():
        if not vm.drained:
            continue
        for caller_request in world.caller_requests_by_name.values():
            served = caller_request.vm != vm.name or caller_request.gone
            assert served or caller_request.reply is not None, 'G9: request cut'
