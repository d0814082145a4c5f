"""Tests of the settings of an entry process."""

import argparse

import pytest

from nutmegstep.settings import (
    Settings,
    SettingsError,
    add_arguments,
    load_settings,
)

_REQUIRED = ('--platform', '127.0.0.1:8500', '--failure-domain', 'd')


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='serve', formatter_class=_Wide)
    add_arguments(parser)
    return parser


class _Wide(argparse.HelpFormatter):
    def __init__(self, prog: str) -> None:
        super().__init__(prog, width=500)


def _load(*flags: str, **environment: str) -> Settings:
    return load_settings(_parser().parse_args(flags), environment)


def test_flag_takes_precedence_over_variable() -> None:
    """Guards against a variable that overrides a flag on the command line."""
    found = _load(
        *_REQUIRED,
        '--port=7',
        NUTMEGSTEP_PORT='8',
        NUTMEGSTEP_OPERATOR_PORT='9',
    )
    assert (found.port, found.operator_port) == (7, 9)
    assert found.platform == ('127.0.0.1', 8500)


@pytest.mark.parametrize(
    ('flags', 'message'),
    [
        ((), '--platform (NUTMEGSTEP_PLATFORM) is not set'),
        (
            (*_REQUIRED, '--sampling-ratio=1.5'),
            "--sampling-ratio (NUTMEGSTEP_SAMPLING_RATIO) is '1.5', "
            'not a number from 0 to 1',
        ),
        (
            (*_REQUIRED, '--port=65536'),
            "--port (NUTMEGSTEP_PORT) is '65536', not a port from 0 to 65535",
        ),
        (
            ('--platform=host', '--failure-domain=d'),
            "--platform (NUTMEGSTEP_PLATFORM) is 'host', not an IP number "
            'and a port, as in 127.0.0.1:8500',
        ),
    ],
)
def test_error_names_the_setting(flags, message) -> None:
    """Guards against an error that does not lead to the wrong setting.

    The message names the flag, the variable, the value and what is valid.
    """
    with pytest.raises(SettingsError) as caught:
        _load(*flags)
    assert str(caught.value) == message


def test_help_shows_flag_and_variable() -> None:
    """Guards against a setting that the help text does not list."""
    text = _parser().format_help()
    for name in Settings.__dataclass_fields__:
        assert f'NUTMEGSTEP_{name.upper()};' in text
        assert '--{0} '.format(name.replace('_', '-')) in text
