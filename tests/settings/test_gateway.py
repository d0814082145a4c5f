"""Tests of the settings of a gateway."""

import argparse
from datetime import timedelta
from pathlib import Path

import pytest

from nutmegstep.settings import (
    GatewaySettings,
    SettingsError,
    read_environment_file,
    read_settings,
)

_VARIABLES = {
    'NUTMEGSTEP_VM_NAME': 'vm-1',
    'NUTMEGSTEP_FAILURE_DOMAIN': 'north',
    'NUTMEGSTEP_CALLERS_ADDRESS': '10.0.0.1:8080',
    'NUTMEGSTEP_READY_ADDRESS': '10.0.0.1:8081',
    'NUTMEGSTEP_STORE_ADDRESS': '10.0.0.9:8500',
    'NUTMEGSTEP_PEERS_ADDRESS': '10.0.0.1:7740',
}


def _read(**changes: str) -> GatewaySettings:
    variables = {**_VARIABLES, **changes}
    return read_settings(GatewaySettings, argparse.Namespace(), variables)


def test_settings_are_typed() -> None:
    """Guards against settings kept as text or as numbers without a unit."""
    settings = _read(NUTMEGSTEP_GRACE='4.5')
    assert settings.grace == timedelta(seconds=4.5)
    assert settings.callers_address == ('10.0.0.1', 8080)


@pytest.mark.parametrize(
    ('name', 'text'),
    [
        ('NUTMEGSTEP_GRACE', '0'),
        ('NUTMEGSTEP_GRACE', 'nan'),
        ('NUTMEGSTEP_REPEAT_RATIO', '-1'),
        ('NUTMEGSTEP_REPEAT_SLACK', 'inf'),
        ('NUTMEGSTEP_CALLERS_ADDRESS', 'host:80'),
        ('NUTMEGSTEP_METRICS_PORT', '70000'),
        ('NUTMEGSTEP_VM_NAME', ' '),
        ('NUTMEGSTEP_IS_FIRST_START', 'maybe'),
    ],
)
def test_invalid_setting_is_named(name: str, text: str) -> None:
    """Guards against a start with a setting that is not valid.

    The error names the variable.
    """
    with pytest.raises(SettingsError, match=name):
        _read(**{name: text})


def test_missing_setting_is_named() -> None:
    """Guards against a start without the address of the store."""
    variables = dict(_VARIABLES)
    variables.pop('NUTMEGSTEP_STORE_ADDRESS')
    with pytest.raises(SettingsError, match='NUTMEGSTEP_STORE_ADDRESS'):
        read_settings(GatewaySettings, argparse.Namespace(), variables)


def test_empty_setting_is_named() -> None:
    """An empty variable counts as not set only in a settings file; here it is
    refused as an invalid address.
    """
    with pytest.raises(SettingsError, match='NUTMEGSTEP_STORE_ADDRESS'):
        _read(NUTMEGSTEP_STORE_ADDRESS='')


@pytest.mark.parametrize('text', ['0', '-1', 'nan', 'fast'])
def test_processor_capacity_is_checked(text: str) -> None:
    """Guards against a VM without capacity that is chosen as coordinator."""
    with pytest.raises(SettingsError, match='NUTMEGSTEP_CPU_SPEED'):
        _read(NUTMEGSTEP_CPU_SPEED=text)


def test_capacity_is_share_times_speed() -> None:
    """Coordinators are compared by what their processors do in a second."""
    settings = _read(NUTMEGSTEP_CPU_SHARE='0.5', NUTMEGSTEP_CPU_SPEED='3')
    assert settings.capacity == pytest.approx(1.5)


def test_file_without_comments_and_empty_values(tmp_path: Path) -> None:
    """Guards against comments and empty values that are read as settings."""
    path = tmp_path / 'gateway.env'
    path.write_text('# comment\n\nA=1\nB = two=2 \nC=\n')
    assert read_environment_file(path) == {'A': '1', 'B': 'two=2'}


def test_error_names_the_line_without_equals_sign(tmp_path: Path) -> None:
    """Guards against an error that does not name the line of the fault."""
    path = tmp_path / 'gateway.env'
    path.write_text('A=1\nnonsense\n')
    with pytest.raises(SettingsError, match='line 2'):
        read_environment_file(path)


def test_missing_file_is_an_error(tmp_path: Path) -> None:
    """Guards against a start with defaults if the file does not exist."""
    with pytest.raises(SettingsError, match='cannot be read'):
        read_environment_file(tmp_path / 'missing')
