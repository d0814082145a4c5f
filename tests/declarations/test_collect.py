"""Tests of building a configuration from declaration files."""

from pathlib import Path

import pytest

from nutmegstep.declarations import collect_declarations

_EXAMPLES = Path(__file__).parents[2] / 'examples'
_FLEET = """
[fleet]
entry_vms_max = 4
[fleet.entry_vms_per_domain]
domain-1 = 2
"""
_SERVICE = """
[services.stock]
index = "records"
groups = ["stock"]
class = "batch"
coverage = "whole"
timeout_ms = 900
[target_defaults]
slots = 2
cold_slots = 1
connections = 8
[targets]
a = { address = "127.0.0.1:1", failure_domain = "domain-1" }
"""


def _problems(directory: Path, *texts: str) -> list[str]:
    for number, text in enumerate(texts):
        (directory / f'{number}.nutmegstep.toml').write_text(text)
    return [
        str(problem).removeprefix(f'{directory}/')
        for problem in collect_declarations([directory]).failure()
    ]


@pytest.mark.parametrize(
    ('deployment', 'targets'),
    [('vidzeme', 83), ('lothian', 90)],
)
def test_examples_are_valid(deployment: str, targets: int) -> None:
    """Guards against example files that fail the checks of the commands."""
    fleet = collect_declarations([_EXAMPLES / deployment]).unwrap()
    assert len(fleet.targets_by_name) == targets
    assert len(fleet.services_by_name) == 5
    assert len(fleet.services_by_name['all-records'].groups) == 2


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('"batch"', '"bulk"', '1.nutmegstep.toml:5: services.stock.class: '),
        ('= 900', '= 10001', '1.nutmegstep.toml:7: services.stock.timeout_ms'),
        ('127.0.0.1:1', 'shop:1', ':13: targets.a.address: '),
        ('domain-1"', 'domain-9"', 'domain-9 is unknown; allowed are domain-1'),
        ('= 8', '= 7', ':13: targets.a.connections: 7 is below 8'),
        ('cold_slots = 1', 'cold_slots = 3', '3 is above slots, 2'),
        ('["stock"]', '["stock", "stock"]', 'stock is listed twice'),
        ('index', 'indexes', 'services.stock.index: Field required'),
        ('= 900', '= ', 'at line 7'),
    ],
)
def test_invalid_field_is_reported_with_its_line(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    """Guards against invalid fields that are accepted or hard to find.

    Each problem names the file, the line and the field where they are known.
    """
    wrong = _SERVICE.replace(old, new, 1)
    assert wrong != _SERVICE
    assert expected in _problems(tmp_path, _FLEET, wrong)[0]


def test_duplicates_across_files(tmp_path: Path) -> None:
    """Guards against two files that declare the same name or address."""
    problems = _problems(tmp_path, _FLEET, _SERVICE, _FLEET, _SERVICE)
    assert len(problems) == 3
    assert all(f'{tmp_path}/' in problem for problem in problems)
    other = _SERVICE.replace('a =', 'b =').replace('stock', 'other')
    (tmp_path / '2.nutmegstep.toml').write_text('')
    assert (
        '127.0.0.1:1 already belongs to a'
        in _problems(tmp_path, _FLEET, _SERVICE, '', other)[0]
    )


def test_fleet_is_required(tmp_path: Path) -> None:
    """Guards against a configuration without a valid limit on entry VMs.

    The limit must be declared and must allow the VMs of all failure domains.
    """
    assert 'no file has a [fleet] table' in _problems(tmp_path, _SERVICE)[0]
    small = _FLEET.replace('= 4', '= 1')
    assert 'below the sum' in _problems(tmp_path, small, _SERVICE)[0]
