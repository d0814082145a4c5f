"""What targets state about themselves in their replies.

It binds this VM from the reply on, whatever is announced in the store: a limit
of requests, that the target is about to exit, or that it wants no request for
some time.
"""

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.effects import Decision, Effect, ReturnSends
from nutmegstep.dispatch.events import TargetReply
from nutmegstep.dispatch.state import DispatchState

__all__ = ['record_notices']


def record_notices(
    state: DispatchState, target: TargetRecord, reply: TargetReply, now: float
) -> list[Effect]:
    """Record what a reply states about its target.

    Sends that wait for a connection to a target which wants no more requests are
    returned, and go to other targets.
    """
    limits = state.request_limits
    effects: list[Effect] = []
    effects.extend(limits.record_reply(target, reply.request_limit, now))
    if reply.invalid_retry_after:
        inputs = {
            'target': target.target_id,
            'stated': reply.invalid_retry_after,
        }
        effects.append(Decision('retry_after_invalid', '', inputs))
    if reply.retry_after:
        effects.extend(
            (
                limits.record_pause(target, reply.retry_after, now),
                ReturnSends(target.target_id),
            )
        )
    if reply.is_leaving and state.registry.mark_leaving(target):
        inputs = {'target': target.target_id, 'source': 'reply'}
        effects.extend(
            (
                Decision('target_leaving', '', inputs),
                ReturnSends(target.target_id),
            )
        )
    return effects
