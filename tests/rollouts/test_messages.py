"""Messages about roll-outs: their size and their validation."""

import orjson
import pytest

from nutmegstep.gateway.vm_messages import MAX_DATAGRAM_BYTES
from nutmegstep.rollouts import Phase, ReportRow, RolloutReport
from nutmegstep.rollouts.messages import (
    KIND_REPORT,
    decode_directive,
    decode_report,
    encode_directive,
    encode_report,
)


def _report(rows: int) -> RolloutReport:
    return RolloutReport(
        'orders',
        'v2',
        7,
        Phase.RAMP,
        old_in_flight=3,
        age=1.5,
        old_good=40,
        old_bad=2,
        rows=tuple(
            ReportRow(f'i-{row:08}', 'r-92cqf75', 5, row) for row in range(rows)
        ),
    )


def test_report_is_the_same_after_the_way() -> None:
    """Guards against counts that change places."""
    report = _report(1)
    content = orjson.loads(orjson.dumps(encode_report(report)))
    assert decode_report(content) == report


def test_report_of_many_targets_fits_into_a_datagram() -> None:
    """Guards against reports of large services that are never sent."""
    content = encode_report(_report(200))
    datagram = orjson.dumps({'kind': KIND_REPORT, 'content': content})
    assert len(datagram) <= MAX_DATAGRAM_BYTES
    decoded = decode_report(orjson.loads(datagram)['content'])
    assert decoded is not None
    assert decoded.rows[0].bad == 199


def test_directive_is_the_same_after_the_way() -> None:
    """Guards against another phase at the receiver."""
    content = orjson.loads(
        orjson.dumps(encode_directive('orders', 'v2', Phase.MOVED, 2.5))
    )
    decoded = decode_directive(content)
    assert decoded is not None
    assert decoded.phase is Phase.MOVED
    assert decoded.age == 2.5


@pytest.mark.parametrize(
    'content',
    [
        None,
        {},
        {'service': 'orders', 'version': 'v2', 'phase': 'gone', 'age': 1},
        {'service': 'orders', 'version': 'v2', 'phase': 'moved', 'age': -1},
    ],
)
def test_invalid_messages_are_not_read(content: object) -> None:
    """Guards against an event made of what another build has sent."""
    assert decode_directive(content) is None
    assert decode_report(content) is None
