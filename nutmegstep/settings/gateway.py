"""Settings of a gateway and the file that may hold them."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Final

from nutmegstep.settings.core import SettingsError
from nutmegstep.settings.fields import (
    LEVELS,
    read_address,
    read_boolean,
    read_count,
    read_level,
    read_name,
    read_number,
    read_port,
    read_positive_number,
    read_ratio,
    read_seconds,
    setting,
)

__all__ = ['GatewaySettings', 'read_environment_file']

_ADDRESS: Final = 'an IP number and a port, as in 127.0.0.1:8080'
_POSITIVE_SECONDS: Final = 'a number of seconds above 0'
_NON_NEGATIVE_NUMBER: Final = 'a number of at least 0'
_POSITIVE_NUMBER: Final = 'a number above 0'


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Settings of one gateway process.

    Parameters
    ----------
    vm_name : str
        Name of this VM.
    failure_domain : str
        Failure domain of this VM.
    callers_address : tuple of str and int
        IP address and port on which callers connect.
    ready_address : tuple of str and int
        IP address and port on which the load balancer checks whether this VM
        is ready for requests.
    store_address : tuple of str and int
        IP address and port of the platform's store.
    peers_address : tuple of str and int
        IP address and port on which other VMs of the failure domain fetch
        what this VM has read from the store.
    is_first_start : bool
        Whether all VMs of the system start for the first time.
    cpu_share : float
        Processor time that this VM may use, in seconds per second.
    cpu_speed : float
        Speed of its processor, as a multiple of a reference core.
    memory_mb : float
        Memory of this VM in MB; a process that takes more is killed.
    max_descriptors : int
        Most open descriptors of this VM.
    metrics_port : int
        Port of the metrics, on the IP address for callers; 0 disables them.
    grace : datetime.timedelta
        Time from SIGTERM until the process is killed.
    repeat_ratio, repeat_slack : float
        Limit on the sends beyond the first of each request, for each service
        and over all VMs: `repeat_ratio` times the number of requests in a
        window, plus `repeat_slack`.
    repeat_window : datetime.timedelta
        Length of the window of that limit.
    cold_overshoot, cold_slack : float
        Limit on the load of a cold target over all VMs, in requests per
        second: its declared rate times `cold_overshoot`, plus `cold_slack`.
    paces_returns : bool
        Whether targets that have started or recovered get their load back at
        the pace of their answers.
    exposure_share, exposure_slack : float
        Limit on the requests that a bad version of a service gets from all VMs
        while it is rolled out: a share of all requests for the service, plus
        `exposure_slack`. With a share of 0 there are no roll-outs.
    limit_window : datetime.timedelta
        Window of the bound on the requests of a client account.
    limit_overshoot, limit_slack : float
        Tolerance of that bound over all VMs: in each window, (rate x window +
        burst) x (1 + `limit_overshoot`) + `limit_slack` requests may run.
    trace_ratio : float
        Fraction of requests whose spans are recorded, from 0 to 1; with 0 no
        tracer is loaded.
    log_level : str
        Least severe level that is logged.
    """

    vm_name: str = setting(read_name, 'a name', 'name of this VM')
    failure_domain: str = setting(
        read_name,
        'a name',
        'failure domain of this VM',
    )
    callers_address: tuple[str, int] = setting(
        read_address,
        _ADDRESS,
        'where callers connect',
    )
    ready_address: tuple[str, int] = setting(
        read_address,
        _ADDRESS,
        'where the load balancer checks readiness',
    )
    store_address: tuple[str, int] = setting(
        read_address,
        _ADDRESS,
        'address of the platform store',
    )
    peers_address: tuple[str, int] = setting(
        read_address,
        _ADDRESS,
        'where other VMs of the failure domain fetch store contents',
    )
    is_first_start: bool = setting(
        read_boolean,
        'true or false',
        'whether all VMs start for the first time',
        default=False,
    )
    cpu_share: float = setting(
        read_positive_number,
        _POSITIVE_NUMBER,
        'processor time that this VM may use, in seconds per second',
        1,
    )
    cpu_speed: float = setting(
        read_positive_number,
        _POSITIVE_NUMBER,
        'speed of its processor, as a multiple of a reference core',
        1,
    )
    memory_mb: float = setting(
        read_positive_number,
        _POSITIVE_NUMBER,
        'memory of this VM, in MB',
        200,
    )
    max_descriptors: int = setting(
        read_count,
        'a whole number of at least 1',
        'open descriptors that this VM may have',
        4100,
    )
    metrics_port: int = setting(
        read_port,
        'a port',
        'port of the metrics; 0 disables them',
        0,
    )
    grace: timedelta = setting(
        read_seconds,
        _POSITIVE_SECONDS,
        'time from SIGTERM until the process is killed, in seconds',
        timedelta(seconds=6),
    )
    repeat_ratio: float = setting(
        read_number,
        _NON_NEGATIVE_NUMBER,
        'extra sends per request, over all VMs',
        0.2,
    )
    repeat_slack: float = setting(
        read_number,
        _NON_NEGATIVE_NUMBER,
        'extra sends per window in addition, over all VMs',
        50,
    )
    repeat_window: timedelta = setting(
        read_seconds,
        _POSITIVE_SECONDS,
        'window of the bound on extra sends, in seconds',
        timedelta(seconds=10),
    )
    cold_overshoot: float = setting(
        read_number,
        _NON_NEGATIVE_NUMBER,
        'factor on the declared rate of a cold target',
        1,
    )
    cold_slack: float = setting(
        read_number,
        _NON_NEGATIVE_NUMBER,
        'requests per second to a cold target in addition',
        5,
    )
    paces_returns: bool = setting(
        read_boolean,
        'true or false',
        'whether targets that return get their load at the pace of their answers',
        default=False,
    )
    exposure_share: float = setting(
        read_ratio,
        'a number from 0 to 1',
        'share of requests that a bad version may get; 0: no roll-outs',
        0,
    )
    exposure_slack: float = setting(
        read_number,
        _NON_NEGATIVE_NUMBER,
        'requests that a bad version may get in addition',
        0,
    )
    limit_window: timedelta = setting(
        read_seconds,
        _POSITIVE_SECONDS,
        'window of the bound on requests of an account, in seconds',
        timedelta(seconds=5),
    )
    limit_overshoot: float = setting(
        read_number,
        _NON_NEGATIVE_NUMBER,
        'share of the limit of an account that may run in addition',
        0.1,
    )
    limit_slack: float = setting(
        read_number,
        _NON_NEGATIVE_NUMBER,
        'requests of an account per window in addition, over all VMs',
        20,
    )
    trace_ratio: float = setting(
        read_ratio,
        'a number from 0 to 1',
        'share of requests whose spans are recorded',
        0,
    )
    log_level: str = setting(
        read_level,
        f'one of {", ".join(LEVELS)}',
        'least severe level that is logged',
        'info',
    )

    @property
    def capacity(self) -> float:
        """Processor capacity of this VM, in reference cores."""
        return self.cpu_share * self.cpu_speed


def read_environment_file(
    path: Path,
    read_text: Callable[[Path], str] = Path.read_text,
) -> dict[str, str]:
    """Return the variables of a file with one ``NAME=value`` per line.

    Empty lines, lines that begin with ``#`` and variables with an empty value
    are ignored.

    Parameters
    ----------
    path : pathlib.Path
        File to read.
    read_text : Callable, optional
        Returns the text of a file.

    Raises
    ------
    SettingsError
        The file cannot be read, or a line has no equals sign.
    """
    try:
        text = read_text(path)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path} cannot be read: {error}') from error
    lines = (line.strip() for line in text.splitlines())
    pairs = [
        _read_line(path, number, line)
        for number, line in enumerate(lines, start=1)
        if line and not line.startswith('#')
    ]
    return {name: value for name, value in pairs if value}


def _read_line(path: Path, number: int, line: str) -> tuple[str, str]:
    name, equals, value = line.partition('=')
    if not equals:
        raise SettingsError(f'{path}, line {number}: no equals sign')
    return name.strip(), value.strip()
