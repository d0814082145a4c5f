"""Signatures in the replies of targets and in the answers of other VMs."""

import pytest

from nutmegstep.gateway.codec import RawReply
from nutmegstep.platform.wire import CODEC
from tests.gateway.sends import send_to

_SEND = send_to(1, ('10.0.0.1', 80), seconds=1)
_ATTEMPT = (b'x-nutmegstep-attempt-id', _SEND.request.attempt_id.encode())


@pytest.mark.parametrize(
    ('texts', 'signature'),
    [
        ((b'3e1b.07.5a2.600.0.c9f2a4d1',), '3e1b.07.5a2.600.0.c9f2a4d1'),
        ((b'!~+-',), '!~+-'),
        ((), ''),
        ((b'',), ''),
        ((b'3e1b.07,5a2.600',), ''),
        ((b'3e1b.07 5a2.600',), ''),
        ((b'3e1b.07\xe95a2.600',), ''),
        ((b'3e1b.07', b'3e1b.08'), ''),
    ],
)
def test_signature_is_one_entry_of_a_list(
    texts: tuple[bytes, ...], signature: str
) -> None:
    """Guards against a spoiled signature that becomes two entries of a merged
    answer, or one that is none, which makes the whole answer invalid.
    """
    headers = (
        _ATTEMPT,
        *((b'x-nutmegstep-server-stamp', text) for text in texts),
    )
    reply = CODEC.read_reply(_SEND, RawReply(200, headers, b''))
    assert reply is not None
    assert reply.signature == signature
    assert reply.is_success is bool(signature)


@pytest.mark.parametrize(
    ('name', 'signature'),
    [
        (b'x-nutmegstep-server-stamp', 'a.1'),
        (b'x-nutmegstep-part-stamps', 'a.1'),
        (b'x-nutmegstep-part-stcmps', ''),
    ],
)
def test_signatures_in_the_answer_of_another_vm(
    name: bytes, signature: str
) -> None:
    """An answer that another VM passes on bears the signature of the target,
    one that it has merged those of the parts.
    """
    headers = (_ATTEMPT, (name, b'a.1'))
    raw = RawReply(200, headers, b'')
    reply = CODEC.read_delegated_reply(_SEND, raw)
    assert reply is not None
    assert reply.signature == signature


def test_answer_of_another_vm_to_another_attempt_is_rejected() -> None:
    """Guards against another request's answer that comes over another VM."""
    headers = (
        (b'x-nutmegstep-attempt-id', b'other'),
        (b'x-nutmegstep-server-stamp', b'a.1'),
    )
    raw = RawReply(200, headers, b'')
    assert CODEC.read_delegated_reply(_SEND, raw) is None
