"""Encodes and decodes the messages of VMs about roll-outs."""

from collections.abc import Mapping
from operator import attrgetter
from typing import Annotated, Any, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from nutmegstep.rollouts.core import Phase, ReportRow, RolloutReport

__all__ = [
    'KIND_DIRECTIVE',
    'KIND_REPORT',
    'Directive',
    'decode_directive',
    'decode_report',
    'encode_directive',
    'encode_report',
]

KIND_REPORT: Final = 'rollout-report'
"""Kind of the messages to the VMs that may decide."""
KIND_DIRECTIVE: Final = 'rollout-phase'
"""Kind of the messages of the decider to all VMs."""
_MAX_ROW_BYTES: Final = 1000
"""Bytes of the rows that fit into a datagram beside the other fields."""
_ROW_OVERHEAD: Final = 24
_MAX_AGE: Final = 86_400.0

_Count = Annotated[int, Field(ge=0)]
_Age = Annotated[float, Field(ge=0, le=_MAX_AGE)]


class _Model(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class _ReportModel(_Model):
    service: str
    version: str
    epoch: int
    phase: Phase
    old: tuple[_Count, _Count, _Count]
    age: _Age
    rows: tuple[tuple[str, str, _Count, _Count], ...]


class Directive(_Model):
    """Phase of a roll-out that a decider states.

    Parameters
    ----------
    service, version : str
        Service and version of the order.
    phase : Phase
        The phase.
    age : float
        Seconds since the order.
    """

    service: str
    version: str
    phase: Phase
    age: _Age


def encode_report(report: RolloutReport) -> Mapping[str, object]:
    """Encode a report; rows with the most answers first, as many as fit."""
    rows = []
    size = 0
    for row in sorted(report.rows, key=attrgetter('bad', 'good'), reverse=True):
        size += len(row.target_id) + len(row.route) + _ROW_OVERHEAD
        if size <= _MAX_ROW_BYTES:
            rows.append((row.target_id, row.route, row.good, row.bad))
    return {
        'service': report.service,
        'version': report.version,
        'epoch': report.epoch,
        'phase': report.phase.value,
        'old': (report.old_good, report.old_bad, report.old_in_flight),
        'age': round(report.age, 3),
        'rows': rows,
    }


def decode_report(content: Any) -> RolloutReport | None:
    """Decode a report; None if it is invalid."""
    try:
        decoded = _ReportModel.model_validate(content)
    except ValidationError:
        return None
    old_good, old_bad, in_flight = decoded.old
    return RolloutReport(
        decoded.service,
        decoded.version,
        decoded.epoch,
        decoded.phase,
        in_flight,
        decoded.age,
        old_good,
        old_bad,
        tuple(ReportRow(*row) for row in decoded.rows),
    )


def encode_directive(
    service: str, version: str, phase: Phase, age: float
) -> Mapping[str, object]:
    """Encode the phase that a decider states."""
    return {
        'service': service,
        'version': version,
        'phase': phase.value,
        'age': round(max(0, age), 3),
    }


def decode_directive(content: Any) -> Directive | None:
    """Decode the word of a decider; None if it is invalid."""
    try:
        return Directive.model_validate(content)
    except ValidationError:
        return None
