"""gRPC interface between entry VMs, and from operators to entry VMs."""

# gRPC reads the variable that this module sets when it is imported.
from nutmegstep.peers.verbosity import GRPC_VERBOSITY  # isort: split
from nutmegstep.peers.client import PeerClient
from nutmegstep.peers.core import (
    ClaimReport,
    ClaimState,
    ControlVersions,
    FetchedControl,
    Heartbeat,
    HeartbeatReply,
    KnownVersions,
    MessageError,
    PeerError,
    PeerHandlers,
    Process,
    WarmReport,
)
from nutmegstep.peers.server import PeerServer
from nutmegstep.peers.status import (
    EntryStatus,
    decode_status,
    encode_status,
)
from nutmegstep.peers.tls import TlsFiles
from nutmegstep.peers.traffic import Traffic

__all__ = [
    'GRPC_VERBOSITY',
    'ClaimReport',
    'ClaimState',
    'ControlVersions',
    'EntryStatus',
    'FetchedControl',
    'Heartbeat',
    'HeartbeatReply',
    'KnownVersions',
    'MessageError',
    'PeerClient',
    'PeerError',
    'PeerHandlers',
    'PeerServer',
    'Process',
    'TlsFiles',
    'Traffic',
    'WarmReport',
    'decode_status',
    'encode_status',
]
