"""Serves callers from targets: connections, timers, effects."""

from nutmegstep.gateway.codec import RawReply, WireCodec
from nutmegstep.gateway.core import Gateway
from nutmegstep.gateway.metrics import GatewayMetrics

__all__ = ['Gateway', 'GatewayMetrics', 'RawReply', 'WireCodec']
