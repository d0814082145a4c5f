"""What a reader of requests says that it holds."""

from nutmegstep.web.messages import HttpLimits
from nutmegstep.web.reader import ReadEvent, RequestReader

_HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'


def test_incomplete_line_of_a_chunked_body_is_held() -> None:
    """Guards against callers that fill the parser with a chunk extension, which
    the account of memory does not see.
    """
    reader = RequestReader(lambda: HttpLimits(head_bytes=64 * 1024))
    reader.feed(_HEAD)
    assert reader.next_event() is ReadEvent.HEAD
    before = reader.held_bytes
    for _ in range(10):
        reader.feed(
            b'5;' + b'x' * 4000 if reader.held_bytes == before else b'x' * 4000
        )
        assert reader.next_event() is ReadEvent.NEED_DATA
    assert reader.held_bytes >= before + 40_000
