"""Gateway: answers callers' requests by sending requests to targets."""

from nutmegstep.gateway.codec import RawReply, WireCodec
from nutmegstep.gateway.core import Gateway
from nutmegstep.gateway.metrics import GatewayMetrics

__all__ = ['Gateway', 'GatewayMetrics', 'RawReply', 'WireCodec']
