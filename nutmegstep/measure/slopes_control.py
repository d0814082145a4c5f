"""Measures costs of the control plane and of claim journals at a given size."""

from collections.abc import Callable
from random import Random
from typing import Final

from nutmegstep.claims.journal import (
    ClaimRecord,
    decode_journal,
    encode_journal,
)
from nutmegstep.control import ControlState
from nutmegstep.leases import LeaseState
from nutmegstep.measure.costs import allocated_bytes, least_microseconds
from nutmegstep.measure.fleets import DOMAINS
from nutmegstep.membership import (
    Identity,
    ListedVm,
    MembershipState,
    record_list,
)
from nutmegstep.node.exchange import (
    answer_heartbeat,
    build_heartbeat,
    record_reply,
    should_fetch,
)
from nutmegstep.node.state import NodeState, control_versions
from nutmegstep.peers import (
    FetchedControl,
    Heartbeat,
    Process,
)
from nutmegstep.peers.convert import encode_heartbeat
from nutmegstep.peers.convert_control import encode_document

__all__ = [
    'exchange_time',
    'heartbeat_bytes',
    'journal_bytes',
    'journal_memory',
    'journal_time',
    'list_bytes',
    'list_memory',
    'versions_time',
]

_NOW: Final = 100
_REPEATS: Final = 10


def versions_time(vms: int) -> float:
    """Return the microseconds to build the control versions of a message."""
    state = _node_state(0, vms)

    def build_all() -> None:
        for _ in range(_REPEATS):
            control_versions(state, _NOW)

    return least_microseconds(build_all) / _REPEATS


def exchange_time(vms: int) -> float:
    """Return the microseconds of a heartbeat and its reply, without gRPC.

    The work of the sender and that of the receiver are added.
    """
    sender = _node_state(0, vms)
    receiver = _node_state(1, vms)
    heartbeat = build_heartbeat(sender, _NOW)

    def exchange_all() -> None:
        for _ in range(_REPEATS):
            _exchange(sender, receiver, heartbeat)

    return least_microseconds(exchange_all) / _REPEATS


def heartbeat_bytes(targets: int) -> float:
    """Return the bytes of a heartbeat that requests leases of cold targets."""
    state = _node_state(0, 1)
    requested = tuple(f'target-{number:05d}' for number in range(targets))
    versions = control_versions(state, _NOW)
    return float(
        encode_heartbeat(
            Heartbeat(state.own, 1, versions, requested)
        ).ByteSize(),
    )


def list_bytes(vms: int) -> float:
    """Return the bytes of a fetched control state that has only a VM list."""
    document = FetchedControl(ControlState(), _listed(vms), 0)
    return float(encode_document(document).ByteSize())


def list_memory(vms: int) -> float:
    """Return the bytes of the state of a node with a number of VMs."""
    return allocated_bytes(lambda: _node_state(0, vms))


def journal_bytes(claims: int) -> float:
    """Return the size of an encoded claim journal in bytes."""
    return len(encode_journal(_records(claims)))


def journal_memory(claims: int) -> float:
    """Return the bytes of a decoded claim journal in memory."""
    document = encode_journal(_records(claims))
    return allocated_bytes(lambda: decode_journal(document).unwrap())


def journal_time(claims: int) -> float:
    """Return the microseconds to decode a claim journal and to encode it."""
    document = encode_journal(_records(claims))

    def rewrite() -> bytes:
        records_by_key = decode_journal(document).unwrap()
        return encode_journal(records_by_key.values())

    return least_microseconds(rewrite)


def _exchange(
    sender: NodeState,
    receiver: NodeState,
    heartbeat: Heartbeat,
) -> None:
    reply = answer_heartbeat(receiver, heartbeat, _NOW)
    should_fetch(receiver, heartbeat.versions, _NOW)
    record_reply(sender, reply, _NOW, _NOW)
    should_fetch(sender, reply.versions, _NOW)


def _node_state(number: int, vms: int) -> NodeState:
    listed = _listed(max(vms, 2))
    own = listed[number]
    identity = Identity(own.name, number)
    membership = MembershipState(identity, own.failure_domain, 0)
    record_list(membership, listed, _NOW)
    return NodeState(
        Process(own, number),
        membership,
        LeaseState(identity, 0),
        _ignore,
    )


def _ignore(event: object) -> None:
    """Ignore an engine event of the measured state."""


def _listed(vms: int) -> tuple[ListedVm, ...]:
    return tuple(
        ListedVm(
            f'vm-{number:05d}',
            DOMAINS[number % len(DOMAINS)],
            f'127.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000',
        )
        for number in range(vms)
    )


def _records(claims: int) -> list[ClaimRecord]:
    random = Random(1)
    draw: Callable[[int], bytes] = random.randbytes
    bits = random.getrandbits
    return [
        ClaimRecord(draw(16), bits(64), bits(64), draw(8))
        for _ in range(claims)
    ]
