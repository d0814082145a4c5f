"""Callers with and without keys, on VMs that know the newest ones or may not."""

import pytest

from nutmegstep.accounts import key_digest
from nutmegstep.coordinators import DelegationTerms
from nutmegstep.dispatch.content import content_digest
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    ConfigurationRead,
    ProcessResumed,
    StoreRefreshed,
    TargetsListed,
)
from nutmegstep.dispatch.effects import Decision, DeliverRefusal, SendRequest
from nutmegstep.dispatch.events import HeaderItems
from nutmegstep.verdict import Reason
from tests.dispatch.accounts import (
    CLINIC,
    KEY,
    KEY_DIGEST,
    PRIVATE_HEADERS,
    account_configuration,
    account_dispatcher,
)
from tests.dispatch.conftest import (
    SHARDS,
    Dispatcher,
    configuration,
    records,
)

_HEADERS: HeaderItems = (
    (b'authorization', f'Bearer {KEY}'.encode()),
    (b'x-account', b'shop'),
    (b'x-kept', b'1'),
    (b'x-account', b'forged'),
)


def _ask(
    dispatcher: Dispatcher, digest: str, path: str = '/sweep/x'
) -> list[SendRequest]:
    """Let a request with a key arrive; return what is sent for it."""
    dispatcher.effects.clear()
    dispatcher.request(
        path,
        headers=_HEADERS,
        key_digest=digest,
        private_headers=PRIVATE_HEADERS,
    )
    return dispatcher.effects_of(SendRequest)


def _reason(dispatcher: Dispatcher) -> Reason:
    return dispatcher.effects_of(DeliverRefusal)[0].refusal.reason


def test_targets_get_the_account_and_not_the_key() -> None:
    """Guards against a key or a forged account that reaches targets."""
    sends = _ask(account_dispatcher(), KEY_DIGEST)
    assert len(sends) == len(SHARDS)
    assert {send.request.account for send in sends} == {'clinic'}
    assert {send.request.headers for send in sends} == {((b'x-kept', b'1'),)}


def test_requests_stay_as_they_are_without_accounts(
    dispatcher: Dispatcher,
) -> None:
    """Guards against headers that other deployments lose."""
    sends = _ask(dispatcher, KEY_DIGEST)
    assert {send.request.account for send in sends} == {None}
    assert {send.request.headers for send in sends} == {_HEADERS}


@pytest.mark.parametrize('digest', ['', key_digest(b'unknown')])
def test_unknown_and_missing_keys_are_refused(digest: str) -> None:
    """Guards against requests that run in nobody's name."""
    dispatcher = account_dispatcher()
    assert not _ask(dispatcher, digest)
    assert _reason(dispatcher) is Reason.UNKNOWN_KEY


@pytest.mark.parametrize('digest', ['', key_digest(b'unknown'), KEY_DIGEST])
def test_public_route_needs_no_key(digest: str) -> None:
    """Guards against a key or a forged account on public routes."""
    sends = _ask(account_dispatcher(), digest, '/fetch/x')
    name = 'clinic' if digest == KEY_DIGEST else ''
    assert [send.request.account for send in sends] == [name]
    assert sends[0].request.headers == ((b'x-kept', b'1'),)


def test_unknown_key_is_not_denied_while_the_store_is_unreachable() -> None:
    """Guards against callers that give up as one VM lacks their new key."""
    dispatcher = account_dispatcher()
    dispatcher.now += 3.1
    assert not _ask(dispatcher, key_digest(b'new'))
    assert _reason(dispatcher) is Reason.NO_CONFIGURATION
    dispatcher.apply(ConfigurationRead())
    assert not _ask(dispatcher, key_digest(b'new'))
    assert _reason(dispatcher) is Reason.UNKNOWN_KEY


def test_unknown_key_is_not_denied_after_a_pause() -> None:
    """Guards against a VM that wakes with the keys of before."""
    dispatcher = account_dispatcher()
    dispatcher.now += 60
    dispatcher.apply(ProcessResumed())
    dispatcher.apply(StoreRefreshed())
    assert not _ask(dispatcher, key_digest(b'new'))
    assert _reason(dispatcher) is Reason.NO_CONFIGURATION


def test_known_key_works_while_the_store_is_unreachable() -> None:
    """Guards against callers that are refused in an outage of the store."""
    dispatcher = account_dispatcher()
    dispatcher.now += 600
    assert _ask(dispatcher, KEY_DIGEST)


def test_revoked_key_stops_and_does_not_return() -> None:
    """Guards against a key that works again when an old version is read."""
    dispatcher = account_dispatcher()
    dispatcher.apply(
        ConfigurationChanged(account_configuration(2, ((CLINIC, ('new',)),)))
    )
    assert not _ask(dispatcher, KEY_DIGEST)
    assert _ask(dispatcher, key_digest(b'new'))
    dispatcher.apply(ConfigurationChanged(account_configuration(1)))
    assert not _ask(dispatcher, KEY_DIGEST)


def test_key_is_not_logged() -> None:
    """Guards against keys, or what names the account, in log lines."""
    dispatcher = account_dispatcher()
    _ask(dispatcher, key_digest(KEY.encode()))
    _ask(dispatcher, key_digest(b'unknown'))
    assert KEY not in repr(dispatcher.effects_of(Decision))


def test_neighbours_decision_is_kept() -> None:
    """Guards against a coordinator that asks for the key that it was not sent,
    or believes one that a caller has put beside the decision.
    """
    dispatcher = account_dispatcher()
    request = dispatcher.request(
        headers=_HEADERS,
        key_digest=key_digest(b'shop-key'),
        private_headers=PRIVATE_HEADERS,
        delegated=DelegationTerms(1, 0.1),
        account='clinic',
    )
    sends = dispatcher.effects_of(SendRequest)
    assert {send.request.account for send in sends} == {'clinic'}
    assert {send.request.headers for send in sends} == {((b'x-kept', b'1'),)}
    open_request = dispatcher.state.open_by_id[request.request_id]
    assert open_request.account == CLINIC
    assert open_request.rank == (2, 1)


def test_account_in_a_callers_request_is_not_believed() -> None:
    """Guards against an account that a caller states itself."""
    dispatcher = account_dispatcher()
    dispatcher.request(account='clinic')
    assert not dispatcher.effects_of(SendRequest)
    assert _reason(dispatcher) is Reason.UNKNOWN_KEY


def test_neighbour_that_knows_no_accounts_leaves_the_decision() -> None:
    """Guards against an upgrade in which an older build passes the key on."""
    dispatcher = account_dispatcher()
    dispatcher.request(
        headers=_HEADERS,
        key_digest=KEY_DIGEST,
        private_headers=PRIVATE_HEADERS,
        delegated=DelegationTerms(1, 0.1),
    )
    sends = dispatcher.effects_of(SendRequest)
    assert {send.request.account for send in sends} == {'clinic'}


def test_accounts_send_other_content() -> None:
    """Guards against an account that is refused what another one's request,
    which crashes targets, resembles.
    """
    dispatcher = account_dispatcher()
    sends = [
        _ask(dispatcher, digest)[0]
        for digest in (KEY_DIGEST, key_digest(b'shop-key'))
    ]
    digests = {content_digest(send.request) for send in sends}
    assert len(digests) == 2


def test_rank_is_that_of_the_route_without_accounts(
    dispatcher: Dispatcher,
) -> None:
    """Guards against requests of deployments without accounts that are ranked
    otherwise than by their route.
    """
    request = dispatcher.request()
    assert dispatcher.state.open_by_id[request.request_id].rank == (0, 1)


def test_accounts_that_are_removed_leave_requests_as_they_are() -> None:
    """Guards against VMs that ask for keys after a version without accounts."""
    dispatcher = account_dispatcher()
    dispatcher.apply(ConfigurationChanged(configuration(2)))
    dispatcher.apply(TargetsListed(records()))
    assert _ask(dispatcher, '')[0].request.headers == _HEADERS
