"""JSON log lines that never block the process."""

from nutmegstep.logs.core import BufferedLines, configure_buffered_logs

__all__ = ['BufferedLines', 'configure_buffered_logs']
