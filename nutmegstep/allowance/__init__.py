"""Exclusive promises that decide who may send to a cold target."""

from nutmegstep.allowance.core import (
    AllowanceState,
    Promise,
    answer_ask,
    drop_expired,
    record_ask,
    record_grant,
    record_release,
    release_all,
    until_by_target,
)
from nutmegstep.allowance.rank import first_names, rank_names, targets_to_ask

__all__ = [
    'AllowanceState',
    'Promise',
    'answer_ask',
    'drop_expired',
    'first_names',
    'rank_names',
    'record_ask',
    'record_grant',
    'record_release',
    'release_all',
    'targets_to_ask',
    'until_by_target',
]
