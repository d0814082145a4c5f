"""Statuses of refusals that callers take for a promise that nothing has run."""

import pytest

from nutmegstep.callers.responses import refusal_response
from nutmegstep.verdict import Reason, Verdict, refuse

_PROMISES = (408, 421, 429, 503)


@pytest.mark.parametrize('reason', Reason)
@pytest.mark.parametrize('verdict', [Verdict.MAY_HAVE_RUN, Verdict.RAN])
def test_status_of_what_may_have_run_is_no_promise(
    verdict: Verdict, reason: Reason
) -> None:
    """Guards against a caller that sends a request again without its key, as the
    status said that it had not run.
    """
    response = refusal_response('r', refuse(verdict, reason, 'why'))
    assert response.status not in _PROMISES


def test_key_whose_attempt_has_not_run() -> None:
    """An attempt that was refused unsent keeps its status, whatever became of
    earlier ones: it is repeated with its key.
    """
    refusal = refuse(
        Verdict.MAY_HAVE_RUN,
        Reason.OVERLOADED,
        'why',
        attempt_verdict=Verdict.NOT_RUN,
    )
    assert refusal_response('r', refusal).status == 429
