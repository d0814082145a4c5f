"""Tests of buffered log lines and of the search for a request's entries."""

import json
import logging
import os

from nutmegstep.logs import BufferedLineHandler
from nutmegstep.logs.explaining import (
    describe_entry,
    entries_of_request,
    read_entries,
)


def _record(message: str) -> logging.LogRecord:
    return logging.LogRecord('x', logging.INFO, '', 0, message, None, None)


def test_stalled_reader_loses_lines_but_does_not_block() -> None:
    """Guards against a process that blocks on its own log output.

    A write to a full pipe blocks until the reader reads again.
    """
    reading, writing = os.pipe()
    handler = BufferedLineHandler(writing)
    for number in range(20_000):
        handler.emit(_record(f'line {number} {"x" * 80}'))
    assert handler.dropped > 0
    os.close(reading)
    os.close(writing)


def test_slow_reader_receives_complete_lines() -> None:
    """Guards against lines that are truncated where the pipe was full."""
    reading, writing = os.pipe()
    handler = BufferedLineHandler(writing)
    for number in range(1500):
        handler.emit(_record(json.dumps({'number': number, 'x': 'y' * 90})))
    received = b''
    while received.count(b'\n') < 1500:
        received += os.read(reading, 4096)
        handler.flush()
    numbers = [json.loads(line)['number'] for line in received.splitlines()]
    assert numbers == list(range(1500))
    os.close(reading)
    os.close(writing)


def test_closed_reader_does_not_stop_the_process() -> None:
    """Guards against exceptions at logging calls, and lines that are lost without
    being counted.

    Writing to a pipe whose reader has closed it fails with an error.
    """
    reading, writing = os.pipe()
    os.close(reading)
    handler = BufferedLineHandler(writing)
    handler.emit(_record('nobody reads'))
    assert handler.dropped == 1
    os.close(writing)


def test_entries_of_one_request_in_order_of_time() -> None:
    """Guards against entries of other requests and entries out of order.

    Lines of several logs are read one log after another, so they are not
    sorted by time.
    """
    lines = [
        '  1.5 front-1 {"time": "2", "message": "refused", "request_id": "a"}',
        'not a log entry {',
        '{"time": "1", "message": "hedge", "request_id": "a", "service": "s"}',
        '{"time": "1", "message": "hedge", "request_id": "b"}',
    ]
    found = entries_of_request(read_entries(lines), 'a')
    assert [entry.message for entry in found] == ['hedge', 'refused']
    assert 'service s' in describe_entry(found[0])
