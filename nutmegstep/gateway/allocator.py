"""Return of freed memory to the machine."""

import ctypes
from typing import Final

__all__ = ['return_large_blocks']

_M_TRIM_THRESHOLD: Final = -1
_M_MMAP_THRESHOLD: Final = -3
_LARGE_BYTES: Final = 512 * 1024
"""Size from which a block is returned as soon as it is freed. It lies above what
asyncio allocates for each read, 256 KB, as such a block costs two system calls."""
_TRIM_BYTES: Final = 1024 * 1024


def return_large_blocks() -> bool:
    """Let the C library return large blocks; return whether it can.

    By default glibc raises that size to that of any freed block, up to 32 MB. The
    gaps that long answers leave are then never returned: 160 unread answers of
    1 MB, of which 38 MB were kept, took 100 MB.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except AttributeError:
        return False
    set_option(_M_TRIM_THRESHOLD, _TRIM_BYTES)
    return bool(set_option(_M_MMAP_THRESHOLD, _LARGE_BYTES))
