"""gRPC client for calls to entry VMs."""

from typing import Any, Final

import grpc
from google.protobuf.message import Message

from nutmegstep.declarations import ControlChange, Register
from nutmegstep.peers import convert, convert_control
from nutmegstep.peers.bounds import MAX_MESSAGE_BYTES
from nutmegstep.peers.core import (
    ClaimReport,
    FetchedControl,
    Heartbeat,
    HeartbeatReply,
    KnownVersions,
    PeerError,
)
from nutmegstep.peers.generated import peers_pb2 as wire
from nutmegstep.peers.generated import peers_pb2_grpc
from nutmegstep.peers.tls import (
    TLS_NAME,
    TlsFiles,
    channel_credentials,
    modification_times,
    require_loopback,
)
from nutmegstep.peers.traffic import Traffic

__all__ = ['PeerClient']

_OPTIONS: Final = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.ssl_target_name_override', TLS_NAME),
    # After a VM is replaced, connecting is retried about as often as heartbeats
    # are sent. The default back-off would grow to two minutes.
    ('grpc.max_reconnect_backoff_ms', 500),
    ('grpc.initial_reconnect_backoff_ms', 100),
)
_PEERS: Final = 'Peers'
_OPERATORS: Final = 'Operators'


class PeerClient:
    """Calls entry VMs over one channel per address.

    A call raises `PeerError` if it fails, `MessageError` if the reply is not
    valid and `ValueError` for plaintext to an address that is not a loopback
    address. Channels are opened anew after a certificate file has changed.

    Parameters
    ----------
    traffic : Traffic
        Counts requests and replies.
    files : TlsFiles or None
        Paths of the certificates. None means plaintext, which is allowed only
        to loopback addresses.
    timeout : float
        Time limit of a call, in seconds.
    """

    def __init__(
        self,
        traffic: Traffic,
        files: TlsFiles | None = None,
        timeout: float = 1,
    ) -> None:
        self._traffic = traffic
        self._files = files
        self._timeout = timeout
        self._modification_times: tuple[int, ...] = ()
        self._channels_by_address: dict[str, Any] = {}

    async def exchange(
        self,
        address: str,
        heartbeat: Heartbeat,
    ) -> HeartbeatReply:
        """Send a heartbeat to a peer and return its reply."""
        request = convert.encode_heartbeat(heartbeat)
        reply = await self._call(address, _PEERS, 'Exchange', request)
        return convert.decode_reply(reply)

    async def fetch_control(
        self,
        address: str,
        known: KnownVersions,
    ) -> FetchedControl:
        """Fetch the control state of a peer.

        Configuration and catalogues come only if newer than `known`.
        """
        request = wire.FetchControlRequest(
            generation=known.generation,
            versions_by_index=known.versions_by_index,
        )
        reply = await self._call(address, _PEERS, 'FetchControl', request)
        return convert_control.decode_document(reply)

    async def claim_status(self, address: str, key: bytes) -> ClaimReport:
        """Return the state of a claim that the process at the address made."""
        request = wire.ClaimStatusRequest(key=key)
        reply = await self._call(address, _PEERS, 'ClaimStatus', request)
        return convert_control.decode_claim(reply)

    async def status(self, address: str) -> bytes:
        """Return the status of an entry VM as a JSON document."""
        request = wire.StatusRequest()
        reply = await self._call(address, _OPERATORS, 'Status', request)
        return bytes(reply.document)

    async def explain(self, address: str, request_id: str) -> bytes:
        """Return the JSON document that explains a request."""
        request = wire.ExplainRequest(request_id=request_id)
        reply = await self._call(address, _OPERATORS, 'Explain', request)
        return bytes(reply.document)

    async def read_control(self, address: str) -> bytes:
        """Return withdrawals and drains in the form of `control/state`."""
        request = wire.ReadControlRequest()
        reply = await self._call(address, _OPERATORS, 'ReadControl', request)
        return bytes(reply.document)

    async def apply_control(
        self,
        address: str,
        change: ControlChange,
    ) -> Register:
        """Apply an operator's change; return the register after it."""
        request = convert_control.encode_change(change)
        reply = await self._call(address, _OPERATORS, 'ApplyControl', request)
        return convert_control.decode_register(reply.register)

    async def forget(self, address: str, name: str, *, spread: bool) -> bool:
        """Drop a VM that has stopped for good from the roster of an entry VM.

        Parameters
        ----------
        address : str
            Address of the entry VM.
        name : str
            Name of the stopped VM.
        spread : bool
            Whether the entry VM forwards the command to all others.

        Returns
        -------
        bool
            Whether the entry VM knew the stopped VM.
        """
        request = wire.ForgetRequest(name=name, spread=spread)
        reply = await self._call(address, _OPERATORS, 'Forget', request)
        return bool(reply.known)

    async def close(self) -> None:
        """Close all channels; calls in flight may take up to the time limit."""
        channels = tuple(self._channels_by_address.values())
        self._channels_by_address.clear()
        for channel in channels:
            await channel.close(self._timeout)

    async def _call(
        self,
        address: str,
        service: str,
        call: str,
        request: Message,
    ) -> Any:
        await self._reload()
        try:
            channel = self._channel(address)
        except OSError as error:
            # A certificate file may be missing while it is being replaced. The
            # next call reads it again.
            raise PeerError(f'{call} at {address}: {error}') from error
        stub = getattr(peers_pb2_grpc, f'{service}Stub')(channel)
        self._traffic.count(call, request)
        try:
            reply = await getattr(stub, call)(request, timeout=self._timeout)
        except grpc.aio.AioRpcError as error:
            raise PeerError(
                f'{call} at {address}: {error.code().name}: {error.details()}',
                error.code().name,
            ) from error
        self._traffic.count(call, reply)
        return reply

    async def _reload(self) -> None:
        if self._files is None:
            return
        try:
            current = modification_times(self._files)
        except OSError:
            # A certificate file is being replaced; the channels stay in use.
            return
        if current != self._modification_times:
            self._modification_times = current
            await self.close()

    def _channel(self, address: str) -> Any:
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = self._open_channel(address)
            self._channels_by_address[address] = channel
        return channel

    def _open_channel(self, address: str) -> Any:
        if self._files is None:
            require_loopback(address)
            return grpc.aio.insecure_channel(address, options=_OPTIONS)
        credentials = channel_credentials(self._files)
        return grpc.aio.secure_channel(address, credentials, options=_OPTIONS)
