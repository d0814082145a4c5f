"""Describes the records that an entry VM keeps of a request."""

from collections.abc import Iterator
from dataclasses import dataclass

from pydantic import TypeAdapter

__all__ = ['explanation_lines']


@dataclass(frozen=True, slots=True)
class _Refusal:
    verdict: str
    reason: str
    detail: str
    attempt_verdict: str


@dataclass(frozen=True, slots=True)
class _MissingShard:
    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class _Record:
    service: str
    kind: str
    seconds: float = 0
    refusal: _Refusal | None = None
    index_version: int = 0
    lacking: tuple[_MissingShard, ...] = ()
    target_requests: int = 0
    hedges: int = 0
    restarts: int = 0


_records_adapter = TypeAdapter(tuple[_Record, ...])


def explanation_lines(document: bytes) -> tuple[str, ...]:
    """Return lines that describe a request; none without a record of it.

    Parameters
    ----------
    document : bytes
        JSON array of the records of one request; may be empty.

    Raises
    ------
    pydantic.ValidationError
        The document does not match the model.

    Examples
    --------
    >>> explanation_lines(b'[]')
    ()
    >>> explanation_lines(b'[{"service": "desk", "kind": "slow"}]')[0]
    'desk: slow after 0 ms at index version 0'
    """
    records = _records_adapter.validate_json(document or b'[]')
    return tuple(
        line for record in records for line in _describe_record(record)
    )


def _describe_record(record: _Record) -> Iterator[str]:
    elapsed = round(record.seconds * 1000)
    yield (
        f'{record.service}: {record.kind} after {elapsed} ms '
        f'at index version {record.index_version}'
    )
    refusal = record.refusal
    if refusal is not None:
        yield (
            f'refused with {refusal.reason}, verdict {refusal.verdict}, '
            f'attempt verdict {refusal.attempt_verdict}: {refusal.detail}'
        )
    for shard in record.lacking:
        yield f'shard {shard.name} is missing: {shard.reason}'
    yield (
        f'{record.target_requests} target requests, {record.hedges} hedges, '
        f'{record.restarts} restarts'
    )
