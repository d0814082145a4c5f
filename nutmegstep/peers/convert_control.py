"""Conversion of all messages but those of `Exchange`."""

from collections.abc import Mapping
from datetime import timedelta
from types import MappingProxyType
from typing import Final

from nutmegstep.control import (
    Catalogue,
    Configuration,
    ControlState,
)
from nutmegstep.declarations import ControlChange, ControlSubject, Register
from nutmegstep.peers.bounds import check_count, check_name, check_operator_name
from nutmegstep.peers.convert import decode_vm, encode_vm
from nutmegstep.peers.core import (
    ClaimReport,
    ClaimState,
    FetchedControl,
    MessageError,
)
from nutmegstep.peers.generated import peers_pb2 as wire

__all__ = [
    'decode_change',
    'decode_claim',
    'decode_document',
    'decode_register',
    'encode_change',
    'encode_claim',
    'encode_document',
    'encode_register',
]

_Kind = wire.ApplyControlRequest.Kind
_KIND_BY_SUBJECT: Final = MappingProxyType(
    {
        ControlSubject.FAILURE_DOMAIN: _Kind.KIND_FAILURE_DOMAIN,
        ControlSubject.TARGET: _Kind.KIND_TARGET,
    },
)


def encode_document(fetched: FetchedControl) -> wire.FetchControlReply:
    """Return the protobuf message of a control state with its VM list."""
    state = fetched.state
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
    if fetched.list_age_ms is not None:
        reply.list.age_ms = fetched.list_age_ms
        reply.list.vms.extend(encode_vm(vm) for vm in fetched.vms)
    return reply


def decode_document(message: wire.FetchControlReply) -> FetchedControl:
    """Return the control state and the VM list of a message.

    Raises
    ------
    MessageError
        A field exceeds its size limit.
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
    return FetchedControl(
        state,
        tuple(decode_vm(vm) for vm in message.list.vms),
        message.list.age_ms if has_list else None,
    )


def encode_claim(report: ClaimReport) -> wire.ClaimStatusReply:
    """Return the protobuf message of a claim report."""
    return wire.ClaimStatusReply(
        state=wire.ClaimState.Name(report.state.value),
        answer=report.answer,
        abandoned_age_ms=report.abandoned_age // timedelta(milliseconds=1),
    )


def decode_claim(message: wire.ClaimStatusReply) -> ClaimReport:
    """Return the claim report of a message.

    A state with a number that this version does not have counts as unknown.
    """
    known = {state.value: state for state in ClaimState}
    return ClaimReport(
        known.get(message.state, ClaimState.UNKNOWN),
        message.answer if message.HasField('answer') else None,
        timedelta(milliseconds=message.abandoned_age_ms),
    )


def encode_change(change: ControlChange) -> wire.ApplyControlRequest:
    """Return the protobuf message of an operator's change."""
    return wire.ApplyControlRequest(
        kind=_KIND_BY_SUBJECT[change.subject],
        name=change.name,
        withdrawn=change.withdrawn,
        changed_by=change.changed_by,
    )


def decode_change(message: wire.ApplyControlRequest) -> ControlChange:
    """Return the operator's change of a message.

    Raises
    ------
    MessageError
        A field exceeds its size limit.
    """
    subject_by_kind = {
        kind: subject for subject, kind in _KIND_BY_SUBJECT.items()
    }
    if message.kind not in subject_by_kind:
        raise MessageError(f'kind has the unknown number {message.kind}')
    return ControlChange(
        subject_by_kind[message.kind],
        check_name('name', message.name),
        message.withdrawn,
        check_operator_name('changed_by', message.changed_by),
    )


def encode_register(register: Register) -> wire.Register:
    """Return the protobuf message of a register."""
    return wire.Register(
        counter=register.counter,
        withdrawn=register.withdrawn,
        changed_by=register.changed_by,
    )


def decode_register(message: wire.Register) -> Register:
    """Return the register of a message.

    Raises
    ------
    MessageError
        The name of the operator is too long.
    """
    return Register(
        message.counter,
        message.withdrawn,
        check_operator_name('changed_by', message.changed_by),
    )


def _encode_registers(
    registers_by_name: Mapping[str, Register],
) -> dict[str, wire.Register]:
    return {
        name: encode_register(register)
        for name, register in registers_by_name.items()
    }


def _decode_registers(
    messages_by_name: Mapping[str, wire.Register],
) -> dict[str, Register]:
    check_count('registers', messages_by_name)
    return {
        check_name('register', name): decode_register(message)
        for name, message in messages_by_name.items()
    }
