"""Messages between VMs about the limits of accounts."""

import pytest

from nutmegstep.dispatch.account_events import TokensGranted
from nutmegstep.gateway.account_messages import READ_BY_KIND

_VALID = {
    'share_polled': {'slice': 0, 'polled_at': 1.5, 'seconds': 3},
    'share_lent': {'slice': 2, 'polled_at': 1.5, 'seconds': 3, 'share': 0.1},
    'tokens_asked': {
        'account': 'clinic',
        'slice': 1,
        'wanted': 2,
        'asked_at': 1.5,
    },
    'tokens_granted': {
        'account': 'clinic',
        'slice': 1,
        'tokens': 2,
        'wait': None,
        'asked_at': 1.5,
    },
}


@pytest.mark.parametrize('kind', _VALID)
def test_message_names_its_sender(kind: str) -> None:
    """Guards against kinds that are sent and that nobody can read."""
    event = READ_BY_KIND[kind]('vm-1', _VALID[kind])
    assert event is not None
    assert event.vm == 'vm-1'  # type: ignore[union-attr]


@pytest.mark.parametrize(
    ('kind', 'name', 'text'),
    [
        ('share_polled', 'slice', 3),
        ('share_polled', 'slice', -1),
        ('share_polled', 'seconds', 0),
        ('share_polled', 'seconds', 10_000),
        ('share_lent', 'share', 2),
        ('share_lent', 'share', 0),
        ('tokens_asked', 'wanted', 0),
        ('tokens_asked', 'account', None),
        ('tokens_granted', 'tokens', -1),
        ('tokens_granted', 'tokens', '1'),
        ('tokens_granted', 'wait', -1),
    ],
)
def test_invalid_message_is_ignored(kind: str, name: str, text: object) -> None:
    """Guards against a VM that fails, or lends its share for ever."""
    assert READ_BY_KIND[kind]('vm-1', {**_VALID[kind], name: text}) is None
    assert READ_BY_KIND[kind]('vm-1', [text]) is None


def test_owner_without_a_slice_says_so() -> None:
    """Guards against 429 on behalf of a VM that owns nothing."""
    read = READ_BY_KIND['tokens_granted']
    event = read('vm-1', _VALID['tokens_granted'])
    assert isinstance(event, TokensGranted)
    assert event.wait is None
