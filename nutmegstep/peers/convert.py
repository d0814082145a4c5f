"""Conversion of `Exchange` messages; received ones are checked."""

from collections.abc import Iterable

from nutmegstep.membership import ListedVm
from nutmegstep.peers.bounds import check_count, check_name, check_names
from nutmegstep.peers.core import (
    ControlVersions,
    Heartbeat,
    HeartbeatReply,
    Process,
    WarmReport,
)
from nutmegstep.peers.generated import peers_pb2 as wire

__all__ = [
    'decode_heartbeat',
    'decode_reply',
    'decode_vm',
    'encode_heartbeat',
    'encode_reply',
    'encode_vm',
]


def encode_vm(vm: ListedVm) -> wire.Vm:
    """Return the protobuf message of a VM."""
    return wire.Vm(
        name=vm.name,
        failure_domain=vm.failure_domain,
        address=vm.address,
        leaving=vm.leaving,
    )


def decode_vm(message: wire.Vm) -> ListedVm:
    """Return the VM of a message.

    Raises
    ------
    MessageError
        A text is empty or too long.
    """
    return ListedVm(
        check_name('vm.name', message.name),
        check_name('vm.failure_domain', message.failure_domain),
        check_name('vm.address', message.address),
        message.leaving,
    )


def encode_heartbeat(heartbeat: Heartbeat) -> wire.ExchangeRequest:
    """Return the protobuf message of a heartbeat."""
    return wire.ExchangeRequest(
        sender=_encode_process(heartbeat.sender),
        sequence=heartbeat.sequence,
        versions=_encode_versions(heartbeat.versions),
        asked_targets=heartbeat.asked_targets,
        released_targets=heartbeat.released_targets,
        warm_reports=_encode_reports(heartbeat.warm_reports),
    )


def decode_heartbeat(message: wire.ExchangeRequest) -> Heartbeat:
    """Return the heartbeat of a message.

    Raises
    ------
    MessageError
        A field exceeds its size limit.
    """
    return Heartbeat(
        _decode_process(message.sender),
        message.sequence,
        _decode_versions(message.versions),
        check_names('asked_targets', message.asked_targets),
        check_names('released_targets', message.released_targets),
        _decode_reports(message.warm_reports),
    )


def encode_reply(reply: HeartbeatReply) -> wire.ExchangeReply:
    """Return the protobuf message of a reply."""
    return wire.ExchangeReply(
        receiver=_encode_process(reply.receiver),
        versions=_encode_versions(reply.versions),
        granted_targets=reply.granted_targets,
        warm_reports=_encode_reports(reply.warm_reports),
        stale_incarnation=reply.stale_incarnation,
    )


def decode_reply(message: wire.ExchangeReply) -> HeartbeatReply:
    """Return the reply of a message.

    Raises
    ------
    MessageError
        A field exceeds its size limit.
    """
    return HeartbeatReply(
        _decode_process(message.receiver),
        _decode_versions(message.versions),
        check_names('granted_targets', message.granted_targets),
        _decode_reports(message.warm_reports),
        message.stale_incarnation,
    )


def _encode_process(process: Process) -> wire.Process:
    return wire.Process(
        vm=encode_vm(process.vm),
        incarnation=process.incarnation,
    )


def _decode_process(message: wire.Process) -> Process:
    return Process(decode_vm(message.vm), message.incarnation)


def _encode_versions(versions: ControlVersions) -> wire.ControlVersions:
    return wire.ControlVersions(
        generation=versions.generation,
        configuration_digest=versions.configuration_digest,
        registers_digest=versions.registers_digest,
        catalogues_digest=versions.catalogues_digest,
        list_digest=versions.list_digest,
        list_age_ms=versions.list_age_ms,
    )


def _decode_versions(message: wire.ControlVersions) -> ControlVersions:
    has_list = message.HasField('list_age_ms')
    return ControlVersions(
        message.generation,
        message.configuration_digest,
        message.registers_digest,
        message.catalogues_digest,
        message.list_digest,
        message.list_age_ms if has_list else None,
    )


def _encode_reports(reports: Iterable[WarmReport]) -> list[wire.WarmReport]:
    return [
        wire.WarmReport(
            target=report.target,
            boot_id=report.boot_id,
            age_ms=report.age_ms,
        )
        for report in reports
    ]


def _decode_reports(
    messages: Iterable[wire.WarmReport],
) -> tuple[WarmReport, ...]:
    reports = tuple(
        WarmReport(
            check_name('warm_reports.target', message.target),
            check_name('warm_reports.boot_id', message.boot_id),
            message.age_ms,
        )
        for message in messages
    )
    check_count('warm_reports', reports)
    return reports
