"""Limits of accounts at the VM that takes a request from its caller.

A request of an account with a limit needs a token. The VM uses one that it has, or
asks the owners of the slices one after the other, which takes some milliseconds. If
an owner says that it has none and no other one has any, the request is refused at
once, and so are later ones until the owners are asked again.
"""

import math
from datetime import timedelta
from typing import Final

from nutmegstep.accounts import AccountBound, ClientAccount
from nutmegstep.accounts.bounds import SLICES
from nutmegstep.accounts.stock import TokenStock
from nutmegstep.dispatch.account_events import TokensGranted
from nutmegstep.dispatch.account_owners import grant_tokens
from nutmegstep.dispatch.completion import refuse_open
from nutmegstep.dispatch.effects import Decision, Effect, SendMessage, WakeAt
from nutmegstep.dispatch.requests import OpenRequest
from nutmegstep.dispatch.serving import serve
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.verdict import Reason, refuse

__all__ = ['check_waiting', 'handle_grant', 'serve_within_limit']

_ANSWER_SECONDS: Final = 0.03
"""Time in which an owner answers; after it another one is asked."""
_SILENT_SECONDS: Final = 0.5
"""Time for which an owner is not asked that did not answer or owns nothing."""
_MAX_WAIT_SECONDS: Final = 0.1
"""Longest time for which a request waits for a token: one answer of each owner and
a margin."""
_MIN_RETRY_SECONDS: Final = 0.05
_RETRY_SPREAD: Final = 0.5
"""Share of ``Retry-After`` by which callers of an account return at different
moments; one token returns at a time."""
_MS_PER_SECOND: Final = 1000


def serve_within_limit(
    state: DispatchState, open_request: OpenRequest, now: float
) -> list[Effect]:
    """Serve a request, let it wait for a token of its account, or refuse it.

    The VM that delegated a request has used a token for it.
    """
    account = open_request.account
    is_delegated = open_request.request.delegated is not None
    if account is None or not account.is_limited or is_delegated:
        return serve(state, open_request, now)
    stock = state.account_limits.stock_of(account.name)
    stock.record_request(now)
    if not _waiting(state, stock):
        stock.forget_unanswered(now - _ANSWER_SECONDS)
        expires_at = stock.take(now)
        if expires_at is None:
            expires_at = _take_owned(state, account, stock, now)
        if expires_at is not None:
            open_request.token_expires_at = expires_at
            return serve(state, open_request, now)
    open_request.awaits_token_until = min(
        now + _MAX_WAIT_SECONDS, open_request.deadline
    )
    stock.waiting.append(open_request.request.request_id)
    return _ask_or_refuse(state, account, stock, now)


def check_waiting(
    state: DispatchState, open_request: OpenRequest, now: float
) -> list[Effect]:
    """Ask another owner for a request whose question was not answered."""
    account = open_request.account
    assert account is not None
    assert open_request.awaits_token_until is not None
    stock = state.account_limits.stock_of(account.name)
    effects: list[Effect] = []
    for number, asked_at in tuple(stock.asked_at_by_slice.items()):
        if now >= asked_at + _ANSWER_SECONDS:
            stock.asked_at_by_slice.pop(number)
            stock.mark_dry(
                number, now + _SILENT_SECONDS, now, is_exhausted=False
            )
            inputs = _inputs(state, account, number, now - asked_at)
            effects.append(Decision('tokens_not_answered', '', inputs))
    if now >= open_request.awaits_token_until:
        return [*effects, *_refuse(state, open_request, stock, now)]
    asked = _ask_or_refuse(state, account, stock, now)
    if open_request.request.request_id in state.open_by_id:
        asked.append(_wake(open_request, now))
    return [*effects, *asked]


def handle_grant(
    state: DispatchState, event: TokensGranted, now: float
) -> list[Effect]:
    """Serve waiting requests with the tokens of an owner, or ask the next one."""
    stock = state.account_limits.stock_by_account.get(event.account)
    accounts = state.configuration and state.configuration.accounts
    account = accounts.by_name.get(event.account) if accounts else None
    if stock is None or account is None:
        return []
    number = event.slice_number
    if not stock.accept(number, event.asked_at):
        # A datagram may come twice.
        return []
    stock.clear_silence(number)
    stock.add(event.tokens, event.asked_at + _lifetime(state, account))
    if not event.tokens:
        _record_dry(stock, event, now)
    inputs = {
        **_inputs(state, account, number, now - event.asked_at),
        'tokens': event.tokens,
        'waiting': len(stock.waiting),
    }
    return [
        Decision('tokens_granted', '', inputs),
        *_serve_waiting(state, account, stock, now),
    ]


def _serve_waiting(
    state: DispatchState, account: ClientAccount, stock: TokenStock, now: float
) -> list[Effect]:
    effects: list[Effect] = []
    for open_request in _waiting(state, stock):
        expires_at = (
            stock.take(now) if account.is_limited else now + _ANSWER_SECONDS
        )
        if expires_at is None:
            break
        stock.waiting.popleft()
        open_request.awaits_token_until = None
        open_request.token_expires_at = expires_at
        effects.extend(serve(state, open_request, now))
    if stock.waiting and not stock.asked_at_by_slice:
        effects.extend(_ask_or_refuse(state, account, stock, now))
    return effects


def _waiting(state: DispatchState, stock: TokenStock) -> list[OpenRequest]:
    """Return the requests that wait; forget those that have ended."""
    found = [
        state.open_by_id[request_id]
        for request_id in stock.waiting
        if request_id in state.open_by_id
    ]
    stock.waiting.clear()
    stock.waiting.extend(one.request.request_id for one in found)
    return found


def _ask_or_refuse(
    state: DispatchState, account: ClientAccount, stock: TokenStock, now: float
) -> list[Effect]:
    """Ask the next owner, or refuse all that wait if none may have a token."""
    waiting = _waiting(state, stock)
    if not waiting:
        return []
    number = _next_slice(state, account, stock, now)
    if number is None:
        if stock.asked_at_by_slice:
            return [_wake(waiting[-1], now)]
        return [
            effect
            for open_request in waiting
            for effect in _refuse(state, open_request, stock, now)
        ]
    stock.record_question(number, now)
    owner = state.account_limits.lent[number].owner_at(now)
    content = {
        'account': account.name,
        'slice': number,
        'wanted': len(waiting) + stock.ahead(_lifetime(state, account)),
        'asked_at': now,
    }
    return [
        SendMessage((owner,), 'tokens_asked', content),
        _wake(waiting[-1], now),
    ]


def _next_slice(
    state: DispatchState, account: ClientAccount, stock: TokenStock, now: float
) -> int | None:
    """Return a slice whose owner may have a token and has not been asked."""
    lent = state.account_limits.lent
    numbers = [
        number
        for number in range(SLICES)
        if number not in stock.asked_at_by_slice
        and not stock.is_dry(number, now)
        and lent[number].owner_at(now) not in {'', state.own_name}
    ]
    return state.random.choice(numbers) if numbers else None


def _take_owned(
    state: DispatchState, account: ClientAccount, stock: TokenStock, now: float
) -> float | None:
    """Take a token of a slice that this VM owns itself."""
    for number in state.account_limits.owned_by_slice:
        if stock.is_dry(number, now):
            continue
        grant = grant_tokens(state, account, number, 1, now)
        if grant is not None and grant.tokens:
            return now + _lifetime(state, account)
        if grant is not None:
            stock.mark_dry(number, now + grant.wait, now, is_exhausted=True)
    return None


def _record_dry(stock: TokenStock, event: TokensGranted, now: float) -> None:
    is_exhausted = event.wait is not None
    wait = _SILENT_SECONDS if event.wait is None else event.wait
    stock.mark_dry(
        event.slice_number, now + wait, now, is_exhausted=is_exhausted
    )


def _refuse(
    state: DispatchState,
    open_request: OpenRequest,
    stock: TokenStock,
    now: float,
) -> list[Effect]:
    request_id = open_request.request.request_id
    if request_id in stock.waiting:
        stock.waiting.remove(request_id)
    open_request.awaits_token_until = None
    is_over = stock.is_exhausted(now)
    seconds = _MIN_RETRY_SECONDS
    if is_over:
        wait = max(_MIN_RETRY_SECONDS, stock.returns_at() - now)
        seconds = wait * (1 + _RETRY_SPREAD * state.random.random())
    refusal = refuse(
        open_request.verdict,
        Reason.OVER_LIMIT if is_over else Reason.LIMIT_UNKNOWN,
        'the account is beyond its limit'
        if is_over
        else 'no VM answers for the limit of the account',
        retry_after=timedelta(milliseconds=math.ceil(seconds * _MS_PER_SECOND)),
    )
    account = open_request.account
    inputs = {'account': '' if account is None else account.name}
    return refuse_open(state, open_request, refusal, inputs)


def _lifetime(state: DispatchState, account: ClientAccount) -> float:
    if not account.is_limited:
        return 0
    return AccountBound(account, state.account_limits.tolerance).lifetime


def _wake(open_request: OpenRequest, now: float) -> WakeAt:
    return WakeAt(open_request.request.request_id, now + _ANSWER_SECONDS)


def _inputs(
    state: DispatchState, account: ClientAccount, number: int, age: float
) -> dict[str, object]:
    return {
        'account': account.name,
        'slice': number,
        'owner': state.account_limits.lent[number].owner,
        'age_ms': round(age * _MS_PER_SECOND, 1),
    }
