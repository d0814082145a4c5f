"""Engine events that follow from a change of the control state."""

from collections.abc import Iterator, Mapping

from nutmegstep.control.core import ControlState
from nutmegstep.declarations import (
    Register,
    decode_catalogue,
    decode_fleet,
)
from nutmegstep.engine.events import (
    CatalogueChanged,
    ControlChanged,
    FleetChanged,
)

__all__ = ['changed_events']

ControlEvent = FleetChanged | CatalogueChanged | ControlChanged


def changed_events(
    before: ControlState,
    after: ControlState,
) -> tuple[ControlEvent, ...]:
    """Return the engine events for a change of the control state.

    Parameters
    ----------
    before : ControlState
        State that the engine knows.
    after : ControlState
        New state.

    Returns
    -------
    tuple of ControlEvent
        Events in the order in which the engine must get them. Withdrawals and
        drains come first; otherwise a new configuration could let the engine
        send to a failure domain that the same change withdraws.

    Raises
    ------
    pydantic.ValidationError
        A new document does not match its model. The caller must keep `before`.

    Examples
    --------
    >>> changed_events(ControlState(), ControlState())
    ()
    """
    return (
        *_control_events(before, after),
        *_fleet_events(before, after),
        *_catalogue_events(before, after),
    )


def _control_events(
    before: ControlState,
    after: ControlState,
) -> Iterator[ControlEvent]:
    event = _control_event(after)
    if event != _control_event(before):
        yield event


def _control_event(state: ControlState) -> ControlChanged:
    return ControlChanged(
        _withdrawn_names(state.withdrawals_by_domain),
        _withdrawn_names(state.drains_by_target),
    )


def _withdrawn_names(
    registers_by_name: Mapping[str, Register],
) -> frozenset[str]:
    return frozenset(
        name
        for name, register in registers_by_name.items()
        if register.withdrawn
    )


def _fleet_events(
    before: ControlState,
    after: ControlState,
) -> Iterator[ControlEvent]:
    if after.configuration.generation > before.configuration.generation:
        yield FleetChanged(decode_fleet(after.configuration.document))


def _catalogue_events(
    before: ControlState,
    after: ControlState,
) -> Iterator[ControlEvent]:
    for index, catalogue in sorted(after.catalogues_by_index.items()):
        if before.catalogues_by_index.get(index) != catalogue:
            versions = decode_catalogue(catalogue.document)
            yield CatalogueChanged(index, versions)
