"""Tests of the reducer's dispatch."""

from random import Random

from nutmegstep.engine import EngineState, reduce
from nutmegstep.engine.effects import ReplyRefusal
from nutmegstep.engine.events import QueryArrived
from nutmegstep.model import IdempotentQuery
from nutmegstep.verdict import Reason, Verdict


def test_query_without_configuration_is_refused() -> None:
    """Guards against a query that starts without a configuration."""
    state = EngineState('domain-1', Random(1))
    query = IdempotentQuery('r-1', 'stock', b'{}', deadline=1)
    effects = reduce(state, QueryArrived(1, query), 0)
    assert len(effects) == 1
    assert isinstance(effects[0], ReplyRefusal)
    assert effects[0].refusal.verdict is Verdict.NOT_RUN
    assert effects[0].refusal.reason is Reason.NO_CONFIGURATION
