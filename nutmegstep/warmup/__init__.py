"""Detection of cold targets, and the ramp of load that warms them up.

A target is cold after its process has started or when it has become slow: its
caches are empty, so it takes few requests at a time. Only the VM that holds
the lease of a cold target (see `nutmegstep.leases`) may send to it.
"""

from nutmegstep.warmup.core import (
    COLD_REQUEST_SECONDS,
    EARLY_REPORT_SECONDS,
    Warmup,
)

__all__ = ['COLD_REQUEST_SECONDS', 'EARLY_REPORT_SECONDS', 'Warmup']
