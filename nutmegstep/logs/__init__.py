"""JSON log lines, written without blocking the process."""

from nutmegstep.logs.core import BufferedLineHandler, configure_buffered_logs

__all__ = ['BufferedLineHandler', 'configure_buffered_logs']
