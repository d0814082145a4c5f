"""gRPC server of an entry VM."""

from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any, Final, TypeVar

import grpc
from google.protobuf.message import Message

from nutmegstep.peers import convert, convert_control
from nutmegstep.peers.bounds import (
    KEY_BYTES,
    MAX_MESSAGE_BYTES,
    check_bytes,
    check_name,
)
from nutmegstep.peers.core import (
    KnownVersions,
    MessageError,
    PeerHandlers,
)
from nutmegstep.peers.generated import peers_pb2 as wire
from nutmegstep.peers.generated import peers_pb2_grpc
from nutmegstep.peers.tls import (
    TlsFiles,
    require_loopback,
    server_credentials,
)
from nutmegstep.peers.traffic import Traffic

__all__ = ['PeerServer']

_Request = TypeVar('_Request', bound=Message)
_Reply = TypeVar('_Reply', bound=Message)
_OPTIONS: Final = (('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),)


class PeerServer:
    """Serves the calls of peers and operators on one port.

    Parameters
    ----------
    handlers : PeerHandlers
        Functions that handle the calls.
    traffic : Traffic
        Counts requests and replies.
    files : TlsFiles or None
        Paths of the certificates. None means plaintext, which is allowed only
        on a loopback address.
    """

    def __init__(
        self,
        handlers: PeerHandlers,
        traffic: Traffic,
        files: TlsFiles | None = None,
    ) -> None:
        self._handlers = handlers
        self._traffic = traffic
        self._files = files
        self._server: Any = None

    async def start(self, address: str) -> int:
        """Start to listen.

        Parameters
        ----------
        address : str
            Address to listen on (``host:port``); port 0 selects a free port.

        Returns
        -------
        int
            Port on which the server listens.

        Raises
        ------
        ValueError
            There are no certificates and the address is not a loopback
            address.
        """
        if self._files is None:
            require_loopback(address)
        self._server = grpc.aio.server(options=_OPTIONS)
        calls = _servicer(self._handlers, self._traffic)
        generated: Any = peers_pb2_grpc
        generated.add_PeersServicer_to_server(calls, self._server)
        generated.add_OperatorsServicer_to_server(calls, self._server)
        port = self._bind(address)
        await self._server.start()
        return port

    async def stop(self, grace: float = 1) -> None:
        """Stop; calls in flight are cancelled after `grace` seconds."""
        await self._server.stop(grace)

    def _bind(self, address: str) -> int:
        if self._files is None:
            return int(self._server.add_insecure_port(address))
        credentials = server_credentials(self._files)
        return int(self._server.add_secure_port(address, credentials))


def _servicer(handlers: PeerHandlers, traffic: Traffic) -> SimpleNamespace:
    answers = {
        'Exchange': _exchange(handlers),
        'FetchControl': _fetch(handlers),
        'ClaimStatus': _claim(handlers),
        'Status': _status(handlers),
        'Explain': _explain(handlers),
        'ReadControl': _read_control(handlers),
        'ApplyControl': _apply(handlers),
        'Forget': _forget(handlers),
    }
    wrapped = {
        call: _wrap(call, traffic, answer) for call, answer in answers.items()
    }
    return SimpleNamespace(**wrapped)


def _wrap(
    call: str,
    traffic: Traffic,
    answer: Callable[[_Request], Awaitable[_Reply]],
) -> Callable[[_Request, Any], Awaitable[_Reply]]:
    async def serve(request: _Request, context: Any) -> _Reply:
        traffic.count(call, request)
        try:
            reply = await answer(request)
        except MessageError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            raise
        traffic.count(call, reply)
        return reply

    return serve


def _exchange(handlers: PeerHandlers) -> Any:
    async def answer(request: wire.ExchangeRequest) -> wire.ExchangeReply:
        heartbeat = convert.decode_heartbeat(request)
        return convert.encode_reply(handlers.exchange(heartbeat))

    return answer


def _fetch(handlers: PeerHandlers) -> Any:
    async def answer(
        request: wire.FetchControlRequest,
    ) -> wire.FetchControlReply:
        known = KnownVersions(
            request.generation,
            dict(request.versions_by_index),
        )
        document = handlers.fetch_control(known)
        return convert_control.encode_document(document)

    return answer


def _claim(handlers: PeerHandlers) -> Any:
    async def answer(
        request: wire.ClaimStatusRequest,
    ) -> wire.ClaimStatusReply:
        key = check_bytes('key', request.key, KEY_BYTES)
        return convert_control.encode_claim(await handlers.claim_status(key))

    return answer


def _status(handlers: PeerHandlers) -> Any:
    async def answer(request: wire.StatusRequest) -> wire.StatusReply:
        return wire.StatusReply(document=handlers.status())

    return answer


def _explain(handlers: PeerHandlers) -> Any:
    async def answer(request: wire.ExplainRequest) -> wire.ExplainReply:
        request_id = check_name('request_id', request.request_id)
        return wire.ExplainReply(document=handlers.explain(request_id))

    return answer


def _read_control(handlers: PeerHandlers) -> Any:
    async def answer(request: wire.ReadControlRequest) -> wire.ReadControlReply:
        return wire.ReadControlReply(document=handlers.read_control())

    return answer


def _apply(handlers: PeerHandlers) -> Any:
    async def answer(
        request: wire.ApplyControlRequest,
    ) -> wire.ApplyControlReply:
        change = convert_control.decode_change(request)
        register = handlers.apply_control(change)
        return wire.ApplyControlReply(
            register=convert_control.encode_register(register),
        )

    return answer


def _forget(handlers: PeerHandlers) -> Any:
    async def answer(request: wire.ForgetRequest) -> wire.ForgetReply:
        name = check_name('name', request.name)
        return wire.ForgetReply(known=handlers.forget(name, request.spread))

    return answer
