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
targets that send without end do not disturb the responses of the others."""


class ResponseMemory:
    """Bytes that the incomplete responses of a connection pool take.

    Attributes
    ----------
    held : int
        Bytes of all incomplete bodies.
    """

    def __init__(self) -> None:
        self.held = 0

    def reserve(self, size: int, added: int) -> bool:
        """Add bytes of a body; return whether it may be read on.

        Parameters
        ----------
        size : int
            Bytes of the body before.
        added : int
            Bytes to add. They count until they are released, also if the body
            must not be read on.
        """
        self.held += added
        if size + added <= _GUARANTEED_BYTES:
            return True
        if size + added > _MAX_RESPONSE_BYTES:
            return False
        return self.held <= _MAX_TOTAL_BYTES

    def release(self, size: int) -> None:
        """Free the bytes of a body that is complete or given up."""
        self.held -= size
