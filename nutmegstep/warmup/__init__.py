"""Cold detection and the ramp of cold targets."""

from nutmegstep.warmup.core import (
    COLD_REQUEST_SECONDS,
    EARLY_REPORT_SECONDS,
    Warmup,
)

__all__ = ['COLD_REQUEST_SECONDS', 'EARLY_REPORT_SECONDS', 'Warmup']
