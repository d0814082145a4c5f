"""Failures of targets whose status would promise that nothing has run.

Callers take some statuses for the promise that their request has not run and
never will. A target that sends one without saying that it has not run the request
may have run it, so its reply is not passed on.
"""

from datetime import timedelta
from typing import Final

from nutmegstep.dispatch.events import TargetReply
from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = ['is_untrue_promise', 'untrue_promise_refusal']

_RETRY_AFTER: Final = timedelta(milliseconds=50)
"""Time after which callers are asked to retry if the target has stated none."""


def is_untrue_promise(reply: TargetReply) -> bool:
    """Return whether a reply of a target would make an untrue promise.

    Parameters
    ----------
    reply : TargetReply
        Reply of a target, or one that another VM passes on. That VM's own
        refusals have no signature, and their promises are true.
    """
    is_of_target = bool(reply.signature)
    return is_of_target and reply.was_executed and reply.promises_not_run


def untrue_promise_refusal(reply: TargetReply) -> Refusal:
    """Return the refusal that a caller gets instead of such a reply.

    The caller learns the status from its text, and when to return from its time.
    """
    retry_after = _RETRY_AFTER
    if reply.retry_after is not None:
        retry_after = timedelta(seconds=reply.retry_after)
    return refuse(
        Verdict.MAY_HAVE_RUN,
        Reason.TARGET_FAILED,
        f'the target has failed with status {reply.status} and does not say '
        'that the request was not run',
        retry_after=retry_after,
    )
