"""Converts the outcomes of sends to events of the dispatcher."""

from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import (
    SendFailed,
    SendFailureKind,
    TargetReplied,
)
from nutmegstep.gateway.codec import WireCodec
from nutmegstep.gateway.exchange import SendOutcome

__all__ = ['SendOutcome', 'read_outcome']


def read_outcome(
    codec: WireCodec, effect: SendRequest, outcome: SendOutcome
) -> TargetReplied | SendFailed:
    """Return the event of a send's outcome.

    Parameters
    ----------
    codec : WireCodec
        Translates the HTTP headers of targets.
    effect : SendRequest
        The send.
    outcome : RawReply or SendFailureKind
        Its outcome. A reply that does not belong to the request is a failure.
    """
    if isinstance(outcome, SendFailureKind):
        return SendFailed(effect.send_id, outcome)
    reply = codec.read_reply(effect, outcome)
    if reply is None:
        return SendFailed(effect.send_id, SendFailureKind.INVALID)
    return TargetReplied(effect.send_id, reply)
