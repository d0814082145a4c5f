"""Conversion of `FetchControl` and `ClaimStatus` messages."""

from collections.abc import Mapping
from datetime import timedelta

from nutmegstep.control import (
    Catalogue,
    Configuration,
    ControlState,
    Register,
)
from nutmegstep.peers.bounds import check_count, check_name
from nutmegstep.peers.convert import decode_vm, encode_vm
from nutmegstep.peers.core import ClaimReport, ClaimState, ControlDocument
from nutmegstep.peers.generated import peers_pb2 as wire

__all__ = [
    'decode_claim',
    'decode_document',
    'encode_claim',
    'encode_document',
]


def encode_document(document: ControlDocument) -> wire.FetchControlReply:
    """Return the wire form of the control state."""
    state = document.state
    reply = wire.FetchControlReply(
        configuration=wire.Configuration(
            generation=state.configuration.generation,
            digest=state.configuration.digest,
            document=state.configuration.document,
        ),
        withdrawals_by_domain=_encode_registers(state.withdrawals_by_domain),
        drains_by_target=_encode_registers(state.drains_by_target),
        catalogues_by_index={
            index: wire.Catalogue(
                version=catalogue.version,
                document=catalogue.document,
            )
            for index, catalogue in state.catalogues_by_index.items()
        },
    )
    if document.list_age_ms is not None:
        reply.list.age_ms = document.list_age_ms
        reply.list.vms.extend(encode_vm(vm) for vm in document.vms)
    return reply


def decode_document(message: wire.FetchControlReply) -> ControlDocument:
    """Return a checked control state.

    Raises
    ------
    MessageError
        A field breaks its bound.
    """
    check_count('list.vms', message.list.vms)
    configuration = message.configuration
    state = ControlState(
        Configuration(
            configuration.generation,
            configuration.digest,
            configuration.document,
        ),
        _decode_registers(message.withdrawals_by_domain),
        _decode_registers(message.drains_by_target),
        {
            check_name('index', index): Catalogue(
                catalogue.version,
                catalogue.document,
            )
            for index, catalogue in message.catalogues_by_index.items()
        },
    )
    has_list = message.HasField('list')
    return ControlDocument(
        state,
        tuple(decode_vm(vm) for vm in message.list.vms),
        message.list.age_ms if has_list else None,
    )


def encode_claim(report: ClaimReport) -> wire.ClaimStatusReply:
    """Return the wire form of a claim's state."""
    return wire.ClaimStatusReply(
        state=wire.ClaimState.Name(report.state.value),
        answer=report.answer,
        abandoned_age_ms=report.abandoned_age // timedelta(milliseconds=1),
    )


def decode_claim(message: wire.ClaimStatusReply) -> ClaimReport:
    """Return the state of a claim; an unlisted number counts as unknown."""
    known = {state.value: state for state in ClaimState}
    return ClaimReport(
        known.get(message.state, ClaimState.UNKNOWN),
        message.answer if message.HasField('answer') else None,
        timedelta(milliseconds=message.abandoned_age_ms),
    )


def _encode_registers(
    registers_by_name: Mapping[str, Register],
) -> dict[str, wire.Register]:
    return {
        name: wire.Register(counter=register.counter, active=register.active)
        for name, register in registers_by_name.items()
    }


def _decode_registers(
    messages_by_name: Mapping[str, wire.Register],
) -> dict[str, Register]:
    check_count('registers', messages_by_name)
    return {
        check_name('register', name): Register(message.counter, message.active)
        for name, message in messages_by_name.items()
    }
