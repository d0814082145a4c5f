"""Sends of the dispatcher to targets on loopback addresses."""

from nutmegstep.clock import SystemClock
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import RoutedRequest


def send_to(
    number: int, address: tuple[str, int], seconds: float
) -> SendRequest:
    """Return a send to a target of its own, which expires after some seconds."""
    request = RoutedRequest(
        number,
        f'caller-{number}',
        b'GET',
        b'/a',
        'shop.example',
        '/a',
        ((b'host', b'shop.example'),),
        b'',
        seconds,
        0,
    )
    record = TargetRecord(
        f'i-{number}',
        'shard',
        *address,
        'north',
        3,
        is_draining=False,
        cold_until=0,
        started_ms=1,
    )
    expires_at = SystemClock().monotonic() + seconds
    return SendRequest(
        number,
        request,
        record,
        expires_at,
        connection_limit=4,
        is_repeatable=True,
    )
