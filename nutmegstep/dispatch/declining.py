"""Declines delegated requests that their sender had better serve itself."""

from typing import Final

from nutmegstep.dispatch.effects import Decision, DeclineDelegation, Effect
from nutmegstep.dispatch.events import RoutedRequest
from nutmegstep.dispatch.state import DispatchState

__all__ = ['NO_CONTACT', 'decline_if_unsuitable']

NO_CONTACT: Final = 'no_contact'
"""Reason of a VM that declines because it reaches no target."""
_MAX_OPEN_REQUESTS: Final = 24
"""Open requests from which a coordinator declines delegated queries, so that
its neighbours use their own processors."""


def decline_if_unsuitable(
    state: DispatchState,
    request: RoutedRequest,
    now: float,
) -> list[Effect]:
    """Decline a delegated request if its sender had better serve it.

    Returns
    -------
    list of Effect
        Empty if the request is to be served, as it always is without a
        delegation.
    """
    if request.delegated is None:
        return []
    configuration = state.configuration
    reason = ''
    is_current = state.has_targets and now >= state.refresh_until
    if configuration is None or not is_current:
        reason = 'not_ready'
    elif state.avoids_links(now):
        reason = NO_CONTACT
    elif configuration.version != request.delegated.config_version:
        reason = 'other_version'
    elif len(state.open_by_id) >= _MAX_OPEN_REQUESTS:
        reason = 'overloaded'
    if not reason:
        return []
    return [
        Decision('delegation_declined', request.attempt_id, {'reason': reason}),
        DeclineDelegation(request.request_id, reason),
    ]
