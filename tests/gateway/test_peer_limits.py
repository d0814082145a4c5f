"""Shares of callers and neighbours in the memory and descriptors of a VM."""

import logging

import pytest
from prometheus_client import CollectorRegistry

from nutmegstep.clock import SystemClock
from nutmegstep.gateway.peer_limits import PeerAccount, share_out
from nutmegstep.web import CloseReason

_BODY_BYTES = 262_144
_OWN_BYTES = 90_000_000
_RESPONSE_BYTES = 16 * 1024 * 1024


@pytest.mark.parametrize('descriptors', range(50, 9000, 150))
def test_targets_keep_a_part_of_the_descriptors(descriptors: int) -> None:
    """Guards against callers and neighbours that leave no descriptor to the
    targets, the store, probes and files.
    """
    limits = share_out(200, descriptors)
    assert limits.callers <= limits.caller_sockets
    assert limits.neighbours <= limits.neighbour_sockets
    taken = limits.caller_sockets + limits.neighbour_sockets
    sockets = max(descriptors - 200, descriptors // 2)
    assert sockets - taken >= sockets * 0.17


def test_small_vm_serves_as_many_callers_as_before() -> None:
    """Guards against a default that ordinary callers meet."""
    limits = share_out(200, 4100)
    assert limits.callers == 2000
    assert limits.memory_bytes >= 200 * _BODY_BYTES


def test_shares_fit_into_the_smallest_vm() -> None:
    """Guards against shares whose sum a VM doesn't have."""
    limits = share_out(200, 4100)
    assert limits.memory_bytes + _OWN_BYTES + _RESPONSE_BYTES < 200 * 10**6


def test_crowd_writes_few_log_lines(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a crowd that fills the log with the connections it loses."""
    registry = CollectorRegistry()
    shared = PeerAccount(10**6, SystemClock(), registry).shared_parts('callers')
    with caplog.at_level(logging.WARNING):
        for _ in range(1000):
            shared.on_closed(CloseReason.MEMORY)
    assert len(caplog.records) <= 3
    labels = {'port': 'callers', 'reason': 'memory'}
    name = 'nutmegstep_closed_connections_total'
    assert registry.get_sample_value(name, labels) == 1000
