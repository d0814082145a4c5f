"""Owners of the slices of all accounts' limits: polls, loans and grants."""

from typing import Final

from nutmegstep.accounts import ClientAccount
from nutmegstep.accounts.bounds import SLICES, AccountBound
from nutmegstep.accounts.buckets import Grant, OwnedSlice
from nutmegstep.accounts.lending import loan_seconds, poll_interval
from nutmegstep.dispatch.account_events import (
    ShareLent,
    SharePolled,
    TokensAsked,
)
from nutmegstep.dispatch.effects import Decision, Effect, SendMessage
from nutmegstep.dispatch.state import DispatchState

__all__ = ['grant_tokens', 'handle_ask', 'handle_loan', 'handle_poll', 'poll']

_MAX_RANK: Final = 12
"""VMs that may own a slice. All of them are in the two other failure domains with
a chance of 1 in 100."""
_SILENT_POLLS: Final = 3
_RANK_SECONDS: Final = 0.5
"""Time by which each further VM waits longer before it polls, so that the one
before it is heard."""
_POLL_TOLERANCE: Final = 0.1
"""Part of the interval by which a poll may be early: it is sent at the housekeeping
that comes next to it."""


def poll(state: DispatchState, now: float) -> list[Effect]:
    """Ask all VMs for their shares of the slices that this VM is to own."""
    configuration = state.configuration
    if configuration is None or configuration.accounts is None:
        return []
    limits = state.account_limits
    accounts = configuration.accounts.by_name
    limits.retain(frozenset(accounts))
    if not any(one.is_limited for one in accounts.values()):
        return []
    if not limits.may_own(now):
        # A VM that the others do not know yet would follow itself only.
        return []
    effects: list[Effect] = []
    for number in range(SLICES):
        effects.extend(_poll_slice(state, number, now))
    return effects


def handle_poll(
    state: DispatchState, event: SharePolled, now: float
) -> list[Effect]:
    """Lend the share of this VM to an owner, unless another one has it."""
    limits = state.account_limits
    number = event.slice_number
    candidacy = limits.candidacies[number]
    if event.vm in candidacy.earlier:
        candidacy.earlier_heard_at = now
    lent = limits.lent[number]
    if not limits.has_counted_share(now):
        lent.follow(event.vm, event.seconds, now)
        return []
    if not lent.lend(event.vm, event.seconds, now):
        return []
    answer = {
        'slice': number,
        'polled_at': event.polled_at,
        'seconds': event.seconds,
        'share': 1 / max(1, state.vm_count),
    }
    return [SendMessage((event.vm,), 'share_lent', answer)]


def handle_loan(
    state: DispatchState, event: ShareLent, now: float
) -> list[Effect]:
    """Record a share that a VM has lent to this one."""
    owned = state.account_limits.owned_by_slice.get(event.slice_number)
    if owned is not None and event.polled_at <= now:
        until = event.polled_at + event.seconds
        owned.shares.borrow(event.vm, event.share, until, now)
    return []


def handle_ask(
    state: DispatchState, event: TokensAsked, now: float
) -> list[Effect]:
    """Answer a VM that needs tokens."""
    accounts = state.configuration and state.configuration.accounts
    account = accounts.by_name.get(event.account) if accounts else None
    grant = None
    if account is not None:
        grant = grant_tokens(
            state, account, event.slice_number, event.wanted, now
        )
    content = {
        'account': event.account,
        'slice': event.slice_number,
        'asked_at': event.asked_at,
        'tokens': grant.tokens if grant else 0,
        'wait': grant.wait if grant else None,
    }
    return [SendMessage((event.vm,), 'tokens_granted', content)]


def grant_tokens(
    state: DispatchState,
    account: ClientAccount,
    slice_number: int,
    wanted: int,
    now: float,
) -> Grant | None:
    """Hand out tokens; None if this VM does not own the slice."""
    if not account.is_limited:
        return Grant(wanted, 0)
    owned = state.account_limits.owned_by_slice.get(slice_number)
    if owned is None or not owned.is_lent(now):
        return None
    bound = AccountBound(account, state.account_limits.tolerance)
    return owned.grant(bound, wanted, now)


def _poll_slice(state: DispatchState, number: int, now: float) -> list[Effect]:
    limits = state.account_limits
    candidacy = limits.candidacies[number]
    interval = poll_interval(state.vm_count)
    # The silence of the VMs before this one counts from its first turn.
    candidacy.earlier_heard_at = min(candidacy.earlier_heard_at, now)
    if not _is_due(candidacy.rank, candidacy.earlier_heard_at, interval, now):
        return _leave(state, number, now)
    if now < candidacy.polled_at + interval * (1 - _POLL_TOLERANCE):
        return []
    candidacy.polled_at = now
    effects: list[Effect] = []
    owned = limits.owned_by_slice.get(number)
    if owned is None:
        owned = OwnedSlice(now)
        limits.owned_by_slice[number] = owned
        inputs = {'slice': number, 'rank': candidacy.rank}
        effects.append(Decision('limits_owned', '', inputs))
    if limits.has_counted_share(now):
        _borrow_own_share(state, owned, number, now)
    others = tuple(
        name for name in state.domain_by_vm if name != state.own_name
    )
    content = {
        'slice': number,
        'polled_at': now,
        'seconds': loan_seconds(state.vm_count),
    }
    return [*effects, SendMessage(others, 'share_polled', content)]


def _is_due(
    rank: int, earlier_heard_at: float, interval: float, now: float
) -> bool:
    if rank >= _MAX_RANK:
        return False
    silence = _SILENT_POLLS * interval + rank * _RANK_SECONDS
    return not rank or now >= earlier_heard_at + silence


def _borrow_own_share(
    state: DispatchState, owned: OwnedSlice, number: int, now: float
) -> None:
    seconds = loan_seconds(state.vm_count)
    lent = state.account_limits.lent[number]
    if lent.lend(state.own_name, seconds, now):
        share = 1 / max(1, state.vm_count)
        owned.shares.borrow(state.own_name, share, now + seconds, now)


def _leave(state: DispatchState, number: int, now: float) -> list[Effect]:
    """Give a slice up once no share is left; another VM polls."""
    owned = state.account_limits.owned_by_slice.get(number)
    if owned is None or owned.is_lent(now):
        return []
    state.account_limits.owned_by_slice.pop(number)
    return [Decision('limits_left', '', {'slice': number})]
