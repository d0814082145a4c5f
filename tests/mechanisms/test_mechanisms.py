"""Disables each mechanism in turn and checks that its scenario then fails."""

from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any

import pytest

from tests.mechanisms import switches
from tests.scenarios.language import load_scenario
from tests.scenarios.runner import run_scenario

_ROOT = Path(__file__).parents[2]
_FILES = _ROOT / 'tests' / 'scenarios' / 'files'
_NAMES = frozenset(f'G{number}' for number in range(1, 11))


@dataclass(frozen=True)
class _Mechanism:
    """A mechanism, the functions that implement it and the expected failure.

    `replaced` maps dotted names of functions to their replacements. The
    failure message of the scenario must match `reported`; if that is empty,
    it must name the guarantee.
    """

    guarantee: str
    mechanism: str
    scenario: str
    replaced: MappingProxyType[str, Any]
    reported: str = ''

    @property
    def line(self) -> str:
        """Row of the table of mechanisms in docs/testing.md."""
        functions = ', '.join(
            f'`{name.rsplit(".", 1)[1]}`' for name in self.replaced
        )
        cells = (self.guarantee, self.mechanism, functions, self.scenario)
        return f'| {" | ".join(cells)} |'


def _row(
    guarantee: str,
    mechanism: str,
    scenario: str,
    reported: str = '',
    **replaced: Any,
) -> _Mechanism:
    by_name = {
        f'nutmegstep.{name.replace("__", ".")}': replacement
        for name, replacement in replaced.items()
    }
    return _Mechanism(
        guarantee, mechanism, scenario, MappingProxyType(by_name), reported
    )


_ROWS = (
    _row(
        'G1',
        'an answer counts only at the pinned version',
        'wrong_version_answer',
        engine__scatter___store_answer=switches.any_version,
    ),
    _row(
        'G1',
        'a restart drops the results of the earlier version',
        'version_gone_after_first_shard',
        engine__restarting__start_version=switches.keep_results,
    ),
    _row(
        'G2',
        'every shard of the shard map is covered or lacking',
        'shard_lost_partial',
        engine__finishing__build_answer=switches.covered_only,
    ),
    _row(
        'G3',
        'a cold target is used only with leases',
        'cold_without_permission',
        warmup__core__Warmup__is_warm_or_leased=switches.no_lease,
        warmup__core__Warmup__may_send=switches.no_lease,
    ),
    _row(
        'G3',
        'a lease lapses by its own clock',
        'cold_permission_lapses_in_pause',
        warmup__core__Warmup__is_warm_or_leased=switches.expired_lease,
        warmup__core__Warmup__may_send=switches.expired_lease_slot,
    ),
    _row(
        'G3',
        'a cold target starts with its cold slots',
        'cold_start_one_sender',
        warmup__core__Warmup__may_send=switches.no_ramp,
    ),
    _row(
        'G4',
        'withdrawn failure domains are filtered at the send',
        'withdrawn_domain',
        engine__replicas__usable_replicas=switches.no_withdrawals,
    ),
    _row(
        'G5',
        'attempt identifiers are never used again',
        'crossed_answers',
        engine__sending__open_attempt=switches.recycled_identifier,
    ),
    _row(
        'G5',
        'only identical queries share a scatter',
        'crossed_answers',
        engine__admitting___content=switches.one_content,
    ),
    _row(
        'G6',
        'a query with a send is refused as may have run',
        'overload_refusals_are_true',
        engine__finishing__sent_verdict=switches.not_run,
    ),
    _row(
        'G6',
        'an abandoned claim is taken over by newer requests only',
        'one_shot_older_than_abandonment',
        'again was told',
        claims__core___take_over=switches.take_over_always,
    ),
    _row(
        'G7',
        'a claim is won by the first writer only',
        'one_shot_both_vms_at_once',
        claims__commit___decide=switches.claim_held_by_another,
    ),
    _row(
        'G7',
        'a permit returns only when nothing was executed',
        'one_shot_reset_after',
        engine__one_shot__returned_permit=switches.permit_always,
    ),
    _row(
        'G8',
        'draining targets are filtered at the send',
        'operator_drains_target',
        engine__replicas__usable_replicas=switches.no_drains,
    ),
    _row(
        'G8',
        'a target that says it drains counts as leaving',
        'target_says_draining',
        'target requests',
        engine__replicas__candidates_of=switches.no_leaving,
    ),
    _row(
        'G9',
        'a drain waits for the requests in flight',
        'graceful_stop',
        engine__control__drain_if_idle=switches.drain_at_once,
    ),
    _row(
        'G10',
        'only a higher generation replaces the configuration',
        'older_configuration',
        engine__core___FUNCTION_BY_EVENT=switches.any_generation,
    ),
)


@pytest.mark.parametrize('row', _ROWS, ids=lambda row: row.mechanism)
def test_scenario_fails_without_the_mechanism(
    row: _Mechanism, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against scenarios that pass although a mechanism is missing.

    Such a scenario would not notice if the mechanism broke.
    """
    scenario = load_scenario(_FILES / f'{row.scenario}.yaml')
    for name, replacement in row.replaced.items():
        monkeypatch.setattr(name, replacement)
    reported = row.reported or f'{row.guarantee}: '
    with pytest.raises(AssertionError, match=reported):
        run_scenario(scenario)


def test_each_guarantee_has_a_mechanism() -> None:
    """Guards against a guarantee for which no mechanism is tested."""
    assert {row.guarantee for row in _ROWS} == _NAMES


def test_table_of_the_page_is_complete() -> None:
    """Guards against a table in docs/testing.md that differs from the rows."""
    page = (_ROOT / 'docs' / 'testing.md').read_text().splitlines()
    assert [line for line in page if line[:3] == '| G'] == [
        row.line for row in _ROWS
    ]
