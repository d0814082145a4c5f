"""Spans, metrics and JSON logs of an entry process."""

from nutmegstep.telemetry.core import Telemetry
from nutmegstep.telemetry.logs import configure_logs
from nutmegstep.telemetry.metrics import Metrics
from nutmegstep.telemetry.operators import serve_operators
from nutmegstep.telemetry.spans import LogSpanExporter, build_tracer

__all__ = [
    'LogSpanExporter',
    'Metrics',
    'Telemetry',
    'build_tracer',
    'configure_logs',
    'serve_operators',
]
