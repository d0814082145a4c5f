"""Accounts and the lookup of the account that holds a key."""

from nutmegstep.accounts import ClientAccount, build_directory, key_digest

_CLINIC = ClientAccount('clinic', rank=1, rate=2, burst=3)
_SHOP = ClientAccount('shop')


def test_every_key_of_an_account_finds_it() -> None:
    """Guards against callers that are locked out while keys are exchanged."""
    directory = build_directory([(_CLINIC, ['old', 'new']), (_SHOP, ['s'])])
    found = [
        directory.by_key_digest[key_digest(key)] for key in (b'old', b'new')
    ]
    assert found == [_CLINIC, _CLINIC]
    assert directory.by_name == {'clinic': _CLINIC, 'shop': _SHOP}


def test_key_of_two_accounts_finds_none() -> None:
    """Guards against targets that are told the name of another account."""
    directory = build_directory([(_CLINIC, ['k', 'c']), (_SHOP, ['k', 'k'])])
    assert set(directory.by_key_digest) == {key_digest(b'c')}


def test_key_is_not_kept() -> None:
    """Guards against keys in dumps and logs of the configuration."""
    directory = build_directory([(_CLINIC, ['open-sesame'])])
    assert 'open-sesame' not in repr(directory)


def test_account_without_a_rate_has_no_limit() -> None:
    """Guards against accounts that are refused as the rate is left out."""
    assert _CLINIC.is_limited
    assert not _SHOP.is_limited
