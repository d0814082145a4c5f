"""Finds what a log says about one request."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

import orjson

__all__ = ['LogEntry', 'describe_entry', 'entries_of_request', 'read_entries']

_COMMON_FIELDS: Final = frozenset(('time', 'level', 'message', 'request_id'))
_PHRASE_BY_MESSAGE: Final = MappingProxyType(
    {
        'refused': 'the request was refused',
        'answered': 'the request was answered',
        'hedge': 'a second target was asked, because the first was slow',
        'hedge_omitted': 'no second target was asked',
        'hedge_delayed': 'a second target had to wait for the budget',
        'repeat': 'another target was asked after a failure',
        'repeat_omitted': 'no other target was asked after a failure',
        'send_failed': 'a target gave no reply',
        'target_rejected': 'a target replied with a failure or ran nothing',
        'caller_left': 'the caller closed its connection before the answer',
    },
)


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One line of a log.

    Parameters
    ----------
    time : str
        Date and time in UTC, as logged.
    message : str
        What was decided.
    request_id : str
        Identifier of the request; empty when no request is concerned.
    inputs : tuple of pairs
        What decided it.
    """

    time: str
    message: str
    request_id: str
    inputs: tuple[tuple[str, object], ...]


def read_entries(lines: Iterable[str]) -> Iterator[LogEntry]:
    """Decode the lines that are log entries; pass over all others.

    A collector may have put a prefix before each entry.
    """
    for line in lines:
        _, brace, rest = line.partition('{')
        if brace:
            yield from _read_entry(brace + rest)


def entries_of_request(
    entries: Iterable[LogEntry],
    request_id: str,
) -> tuple[LogEntry, ...]:
    """Return the entries of one request in order of time."""
    found = (entry for entry in entries if entry.request_id == request_id)
    return tuple(sorted(found, key=lambda entry: entry.time))


def describe_entry(entry: LogEntry) -> str:
    """Return an entry as a sentence for a person.

    Examples
    --------
    >>> describe_entry(
    ...     LogEntry('12:00', 'refused', 'a', (('reason', 'no_target'),))
    ... )
    '12:00 the request was refused (reason no_target)'
    """
    phrase = _PHRASE_BY_MESSAGE.get(entry.message, entry.message)
    inputs = ', '.join(f'{name} {text}' for name, text in entry.inputs)
    return f'{entry.time} {phrase} ({inputs})' if inputs else phrase


def _read_entry(text: str) -> Iterator[LogEntry]:
    try:
        document = orjson.loads(text.strip())
    except orjson.JSONDecodeError:
        return
    inputs = (
        (name, value)
        for name, value in document.items()
        if name not in _COMMON_FIELDS
    )
    yield LogEntry(
        str(document.get('time', '')),
        str(document.get('message', '')),
        str(document.get('request_id', '')),
        tuple(inputs),
    )
