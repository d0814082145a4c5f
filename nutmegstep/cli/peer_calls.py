"""Calls the operator interface of entry VMs over gRPC."""

from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Final, TypeVar

from returns.result import Failure, Result, Success

from nutmegstep.cli.explaining import explanation_lines
from nutmegstep.cli.operators import Explanation, PeerFailure
from nutmegstep.declarations import (
    ControlChange,
    ControlDocument,
    decode_control,
)
from nutmegstep.peers import (
    EntryStatus,
    PeerClient,
    PeerError,
    TlsFiles,
    Traffic,
    decode_status,
)

__all__ = ['CALL_SECONDS', 'PeerInterface']

# Maximum time in seconds of a call to an entry VM, connecting included. A
# command that tries several VMs waits this long for each one that is stopped.
CALL_SECONDS: Final = 1
_FLAGS: Final = '--tls-certificate, --tls-key and --tls-authorities'
_CONNECT_ERROR: Final = 'failed to connect'
# Status codes of calls that changed nothing. The status is empty if no
# channel could be opened.
_NOT_APPLIED: Final = frozenset(('', 'INVALID_ARGUMENT', 'UNIMPLEMENTED'))
# Causes of connection errors. gRPC reports all of them with one status code,
# so they are recognised by their text.
_CAUSE_BY_TEXT: Final = MappingProxyType(
    {
        'CERTIFICATE_VERIFY_FAILED': (
            'the certificate of the entry VM is not signed by an authority '
            'of --tls-authorities'
        ),
        'WRONG_VERSION_NUMBER': 'the entry VM does not use TLS',
        'Failed to create security handshaker': (
            f'{_FLAGS} are not valid PEM files that belong together'
        ),
        'Connection refused': 'nothing listens there',
    },
)
_CLOSED_ERROR: Final = 'Socket closed'

_Value = TypeVar('_Value')


class PeerInterface:
    """Calls entry VMs over gRPC; implements `OperatorInterface`.

    Parameters
    ----------
    files : TlsFiles or None
        Certificate files; None for plaintext to loopback addresses.
    """

    def __init__(self, files: TlsFiles | None) -> None:
        self._files = files
        self._client = PeerClient(Traffic(), files, CALL_SECONDS)

    async def apply_through_peer(
        self,
        address: str,
        change: ControlChange,
    ) -> Result[None, PeerFailure]:
        """Apply a change; a relay VM writes it to the platform later."""
        called = await self._call(
            self._client.apply_control(address, change),
            is_write=True,
        )
        return called.map(lambda _: None)

    async def read_status(
        self,
        address: str,
    ) -> Result[EntryStatus, PeerFailure]:
        """Fetch the status of an entry VM."""
        called = await self._call(self._client.status(address))
        return called.bind(_decoder(decode_status))

    async def read_control(
        self,
        address: str,
    ) -> Result[ControlDocument, PeerFailure]:
        """Fetch the withdrawals and drains that an entry VM knows."""
        called = await self._call(self._client.read_control(address))
        return called.bind(_decoder(decode_control))

    async def explain(
        self,
        address: str,
        request_id: str,
    ) -> Result[Explanation, PeerFailure]:
        """Fetch the explanation of a request that an entry VM handled."""
        called = await self._call(self._client.explain(address, request_id))
        lines = called.bind(_decoder(explanation_lines))
        return lines.bind(
            lambda found: (
                Success(Explanation(request_id, found))
                if found
                else Failure(_no_record(request_id))
            ),
        )

    async def forget_vm(
        self,
        address: str,
        vm: str,
    ) -> Result[None, PeerFailure]:
        """Remove a permanently stopped VM from the roster."""
        called = await self._call(
            self._client.forget(address, vm, spread=True),
            is_write=True,
        )
        return called.bind(
            lambda known: (
                Success(None)
                if known
                else Failure(PeerFailure(f'no VM {vm} is known'))
            ),
        )

    async def close(self) -> None:
        """Close all channels."""
        await self._client.close()

    async def _call(
        self,
        call: Awaitable[_Value],
        *,
        is_write: bool = False,
    ) -> Result[_Value, PeerFailure]:
        try:
            return Success(await call)
        except PeerError as error:
            sent = is_write and _may_have_arrived(error)
            return Failure(PeerFailure(self._describe(error), sent))
        except ValueError as error:
            return Failure(PeerFailure(self._describe_address(error)))

    def _describe(self, error: PeerError) -> str:
        text = str(error)
        if _CONNECT_ERROR not in text:
            return text
        for part, cause in _CAUSE_BY_TEXT.items():
            if part in text:
                return f'{cause} ({text})'
        if _CLOSED_ERROR not in text:
            return text
        if self._files is None:
            return f'the entry VM requires certificates, see {_FLAGS} ({text})'
        return f'the entry VM rejects --tls-certificate ({text})'

    def _describe_address(self, error: ValueError) -> str:
        if self._files is None:
            return f'{error}; without {_FLAGS} only loopback IP addresses are allowed'
        return str(error)


def _may_have_arrived(error: PeerError) -> bool:
    if error.status in _NOT_APPLIED:
        return False
    return _CONNECT_ERROR not in str(error)


def _decoder(
    decode: Callable[[bytes], _Value],
) -> Callable[[bytes], Result[_Value, PeerFailure]]:
    def decode_reply(document: bytes) -> Result[_Value, PeerFailure]:
        try:
            return Success(decode(document))
        except ValueError as error:
            return Failure(PeerFailure(f'malformed reply: {error}'))

    return decode_reply


def _no_record(request_id: str) -> PeerFailure:
    return PeerFailure(
        f'no record of {request_id}: the answer was complete and in time, '
        'another VM handled it, or the record is too old',
    )
