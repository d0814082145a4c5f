"""Tests of the tables of the capacity page."""

import pytest

from nutmegstep.measure.capacity_inputs import Costs, Size
from nutmegstep.measure.capacity_tables import costs_of_nodes, table_rows
from nutmegstep.measure.control_costs import NodeCost


def _node(nodes: int) -> NodeCost:
    contacts = nodes - 1
    return NodeCost(
        nodes, 0, 0, 500 + contacts * 800, 0.01 + contacts * 0.002, 0, {}
    )


def test_costs_grow_with_contacts() -> None:
    """Guards against counting a node as a contact of itself."""
    costs = costs_of_nodes(Costs(), [_node(3), _node(6), _node(12)])
    assert costs.contact_share == pytest.approx(0.002)
    assert costs.node_bytes == pytest.approx(500)
    assert costs.request_us == Costs().request_us


def test_rows_cover_all_roles() -> None:
    """Guards against a part of the system that is missing from the tables."""
    costs = costs_of_nodes(Costs(), [_node(3), _node(6), _node(12)])
    roles = [row.role for row in table_rows(Size(), costs)]
    assert set(roles) == {
        'coordinator',
        'relay',
        'control',
        'claims',
        'platform',
        'target',
    }
