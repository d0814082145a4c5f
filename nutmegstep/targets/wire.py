"""Encoding of target requests and interpretation of their responses."""

from dataclasses import dataclass, field
from typing import Final

import h11
import orjson

from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import FailureKind, TargetAnswered, TargetFailed

__all__ = ['Outcome', 'ReceivedResponse', 'encode_request', 'read_outcome']

Outcome = TargetAnswered | TargetFailed

_STATUS_OK: Final = 200
_STATUS_CONFLICT: Final = 409
_STATUS_UNAVAILABLE: Final = 503
_MS_PER_SECOND: Final = 1000


@dataclass(slots=True)
class ReceivedResponse:
    """The part of a response that has been received so far.

    Parameters
    ----------
    status : int
        Status code; 0 before the head has arrived.
    headers : dict
        Values by lower-case name.
    chunks : list of bytes
        Parts of the body in order.
    size : int
        Bytes that the response counts in the limit: those of `chunks`, and a
        fixed number for each of them.
    """

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    chunks: list[bytes] = field(default_factory=list)
    size: int = 0


def encode_request(
    http: h11.Connection,
    host_header: bytes,
    effect: SendToTarget,
    seconds_left: float,
) -> bytes:
    """Return the encoded request, complete, so that one write sends it.

    Parameters
    ----------
    http : h11.Connection
        Client side in state ``IDLE``.
    host_header : bytes
        Value of the ``Host`` header.
    effect : SendToTarget
        The request.
    seconds_left : float
        Time until the deadline, sent as ``X-Timeout-Ms`` (at least 1 ms).

    Raises
    ------
    h11.LocalProtocolError
        A header value of the request is not valid in HTTP.
    """
    timeout_ms = max(1, int(seconds_left * _MS_PER_SECOND))
    headers = [
        (b'host', host_header),
        (b'x-request-id', b'%d' % effect.attempt_id),
        (b'x-timeout-ms', b'%d' % timeout_ms),
        (b'index-version', b'%d' % effect.index_version),
        (b'content-length', b'%d' % len(effect.body)),
    ]
    if effect.traceparent:
        headers.append((b'traceparent', effect.traceparent.encode('ascii')))
    request = h11.Request(
        method=b'POST',
        target=b'/shards/%b' % effect.shard.encode(),
        headers=headers,
    )
    parts = (
        http.send(request),
        http.send(h11.Data(data=effect.body)),
        http.send(h11.EndOfMessage()),
    )
    return b''.join(part or b'' for part in parts)


def read_outcome(attempt_id: int, response: ReceivedResponse) -> Outcome:
    """Return the outcome of an attempt from its complete response.

    A response that does not echo the attempt identifier, or has status 200
    without a JSON body and an index version, gives `FailureKind.INVALID`.
    An error response counts as possibly executed unless it carries the header
    ``X-Executed: no``.

    Parameters
    ----------
    attempt_id : int
        Identifier that the response must echo in ``X-Request-Id``.
    response : ReceivedResponse
        The complete response.

    Examples
    --------
    >>> read_outcome(7, ReceivedResponse(200)).kind
    <FailureKind.INVALID: 'invalid'>
    """
    headers = response.headers
    if headers.get(b'x-request-id') != b'%d' % attempt_id:
        return _invalid_response(attempt_id)
    if response.status == _STATUS_OK:
        return _read_answer(attempt_id, response)
    return TargetFailed(
        attempt_id,
        _failure_kind(response),
        headers.get(b'x-executed') != b'no',
        _parse_versions(headers.get(b'index-versions', b'')),
        _boot_id(response),
    )


def _read_answer(attempt_id: int, response: ReceivedResponse) -> Outcome:
    body = b''.join(response.chunks)
    try:
        orjson.loads(body)
    except orjson.JSONDecodeError:
        return _invalid_response(attempt_id)
    version = response.headers.get(b'index-version', b'')
    if not version.isdigit():
        return _invalid_response(attempt_id)
    return TargetAnswered(attempt_id, int(version), _boot_id(response), body)


def _invalid_response(attempt_id: int) -> TargetFailed:
    return TargetFailed(attempt_id, FailureKind.INVALID, may_have_run=True)


def _boot_id(response: ReceivedResponse) -> str:
    return response.headers.get(b'x-boot-id', b'').decode('latin-1')


def _failure_kind(response: ReceivedResponse) -> FailureKind:
    if response.status == _STATUS_CONFLICT:
        return FailureKind.VERSION_GONE
    if response.status != _STATUS_UNAVAILABLE:
        return FailureKind.ERROR
    if response.headers.get(b'x-draining') == b'yes':
        return FailureKind.DRAINING
    return FailureKind.SHED


def _parse_versions(header: bytes) -> tuple[int, ...]:
    parts = (part.strip() for part in header.split(b','))
    return tuple(int(part) for part in parts if part.isdigit())
