"""Guarantees that hold after every step of every scenario.

The names G1 to G10 are those of the design page.
"""

import orjson

from nutmegstep.engine.effects import SendToTarget
from nutmegstep.model import Answer
from nutmegstep.verdict import Refusal, Verdict
from tests.scenarios.records import Asked
from tests.scenarios.world import World

__all__ = ['check_all']


def check_all(world: World) -> None:
    """Check every guarantee; raise `AssertionError` with its name.

    Replies and sends are checked once, when they are new: what a check of
    them depends on changes later only with another reply or send.
    """
    replies = world.new_replies
    world.new_replies = []
    for asked, reply in replies:
        if isinstance(reply, Answer):
            _check_answer(world, asked, reply)
        else:
            _check_refusal(world, asked, reply)
    sends = world.new_sends
    world.new_sends = []
    for instant, vm, effect in sends:
        _check_send(world, instant, vm, effect)
    _check_cold_load(world)
    _check_generations(world)
    _check_drain(world)


def _check_answer(world: World, asked: Asked, answer: Answer) -> None:
    documents_by_shard = {
        shard: orjson.loads(found)
        for shard, found in answer.results_by_shard.items()
    }
    for shard, document in documents_by_shard.items():
        assert document['version'] == answer.index_version, 'G1: snapshot'
        assert document['shard'] == shard, 'G5: crossed shard'
        assert document['asked'] == orjson.loads(asked.body), 'G5: crossed'
    names = {*answer.covered, *(lack.name for lack in answer.lacking)}
    counted = len(answer.covered) + len(answer.lacking)
    assert counted == len(names), 'G2: shard named twice'
    assert set(documents_by_shard) == set(answer.covered), 'G2: coverage'
    expected = set(world.shards_by_version[answer.index_version])
    if asked.key is None and not asked.record:
        assert names == expected, 'G2: shard missing from the answer'
    else:
        assert names <= expected, 'G2: unknown shard'


def _check_refusal(world: World, asked: Asked, refusal: Refusal) -> None:
    if refusal.verdict is not Verdict.NOT_RUN:
        return
    if asked.key is None:
        query = (asked.vm, world.query_id(asked.name))
        ran = any(
            asked.body
            in world.targets_by_name[effect.target].executions_by_body
            for effect in world.sends_by_query.get(query, ())
        )
        assert not ran, 'G6: refused as not run, but a target executed it'
    else:
        count = world.runs_when_refused.get(asked.name, 0)
        assert not count, 'G6: refused as not run, but a target executed it'


def _check_runs_once(world: World, asked: Asked) -> None:
    assert world.executions(asked.body) <= 1, 'G7: one-shot request ran twice'


def _check_cold_load(world: World) -> None:
    for target in world.targets_by_name.values():
        assert target.most_cold_load <= target.cold_slots, (
            f'G3: {target.name} had {target.most_cold_load} requests while '
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
    asked = world.asked_by(vm, effect.query_id)
    if asked.key is not None:
        _check_runs_once(world, asked)
    # A send after the reply can make an earlier `not run` untrue.
    if isinstance(asked.reply, Refusal):
        _check_refusal(world, asked, asked.reply)


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
        for asked in world.asked_by_name.values():
            served = asked.vm != vm.name or asked.gone
            assert served or asked.reply is not None, 'G9: request cut'
