"""Bound on the memory of the responses that are being received."""

from typing import Final

__all__ = ['ResponseMemory']

_MAX_RESPONSE_BYTES: Final = 4 * 1024 * 1024
"""Longest body of a response. Responses are kept in memory until complete."""
_MAX_TOTAL_BYTES: Final = 16 * 1024 * 1024
"""Bytes of all incomplete bodies above which long ones are given up; the
smallest VMs have 200 MB."""
_GUARANTEED_BYTES: Final = 256 * 1024
"""Length up to which a body is read whatever the others take, so that a few
targets that send without end do not disturb the responses of the others. With many
responses it is an equal share of the total."""
_MIN_GUARANTEED_BYTES: Final = 16 * 1024
"""Smallest such length, however many responses there are."""
_READ_BYTES: Final = 64 * 1024
"""Most bytes that one read takes. A connection keeps those that it has not
parsed."""


class ResponseMemory:
    """Bytes that the incomplete responses of a connection pool take.

    Attributes
    ----------
    held : int
        Bytes of all incomplete bodies.
    read_buffer : bytearray
        Buffer for the bytes of one read. All connections use it, as each of them
        copies the bytes before another one reads.
    """

    def __init__(self) -> None:
        self.held = 0
        self.read_buffer = bytearray(_READ_BYTES)
        self._bodies = 0

    @property
    def guaranteed_bytes(self) -> int:
        """Length up to which a body is read whatever the others take."""
        share = _MAX_TOTAL_BYTES // max(1, self._bodies)
        return max(_MIN_GUARANTEED_BYTES, min(_GUARANTEED_BYTES, share))

    def reserve(self, size: int, added: int) -> bool:
        """Add bytes of a body; return whether it may be read on.

        Parameters
        ----------
        size : int
            Bytes of the body before; 0 for a body that begins.
        added : int
            Bytes to add. They count until they are released, also if the body
            must not be read on.
        """
        self.held += added
        self._bodies += not size
        if size + added <= self.guaranteed_bytes:
            return True
        if size + added > _MAX_RESPONSE_BYTES:
            return False
        return self.held <= _MAX_TOTAL_BYTES

    def release(self, size: int) -> None:
        """Free the bytes of a body that is complete or given up."""
        self.held -= size
        self._bodies -= bool(size)
