"""Compares docs/openapi.yaml with the code."""

from pathlib import Path

import yaml

from nutmegstep.verdict import Reason, Verdict, refusal_status, refuse

_PAGE = Path(__file__).parents[2] / 'docs' / 'openapi.yaml'


def test_refusals_match_the_code() -> None:
    """Guards against an API description that lacks a reason, verdict or status.

    A reason may be added to the code without a change of the description.
    """
    page = yaml.safe_load(_PAGE.read_text())
    known = page['components']['schemas']['Refusal']['properties']
    assert known['reason']['enum'] == [reason.value for reason in Reason]
    verdicts = page['components']['schemas']['Verdict']['enum']
    assert verdicts == [verdict.value for verdict in Verdict]
    statuses = {
        str(refusal_status(refuse(verdict, reason, 'why')))
        for reason in Reason
        for verdict in Verdict
    }
    for path in ('query', 'records/{key}'):
        for operation in page['paths'][
            f'/v1/services/{{service}}/{path}'
        ].values():
            if isinstance(operation, dict):
                assert set(operation['responses']) == {'200', *statuses}
