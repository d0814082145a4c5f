"""Finds the log entries of a request and describes them."""

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
        'hedge': 'a second target was sent the request because the first was slow',
        'hedge_omitted': 'the request was not sent to a second target',
        'hedge_delayed': 'sending to a second target was delayed by the budget',
        'repeat': 'the request was retried at another target after a failure',
        'repeat_omitted': 'the request was not retried at another target after a failure',
        'send_failed': 'a target did not reply',
        'target_rejected': 'a target replied with a failure or did not run the request',
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
        Name of the decision or event.
    request_id : str
        Identifier of the request; empty if the line concerns no request.
    inputs : tuple of pairs
        Names and values of the other fields, which explain the decision.
    """

    time: str
    message: str
    request_id: str
    inputs: tuple[tuple[str, object], ...]


def read_entries(lines: Iterable[str]) -> Iterator[LogEntry]:
    """Decode the lines that hold a log entry and ignore all others.

    A log collector may have added a prefix, such as a date, to each line;
    the entry starts at the first opening brace.
    """
    for line in lines:
        _, brace, rest = line.partition('{')
        if brace:
            yield from _read_entry(brace + rest)


def entries_of_request(
    entries: Iterable[LogEntry],
    request_id: str,
) -> tuple[LogEntry, ...]:
    """Return the entries of a request, sorted by time."""
    found = (entry for entry in entries if entry.request_id == request_id)
    return tuple(sorted(found, key=lambda entry: entry.time))


def describe_entry(entry: LogEntry) -> str:
    """Describe an entry in one line of plain text.

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
