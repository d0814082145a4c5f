"""Faults that tests can inject into a target stand-in."""

from dataclasses import dataclass, fields
from typing import Final

__all__ = ['COLD_SLOW_FACTOR', 'TargetFaults', 'apply_faults']

#: Factor on the service time of requests that a cold target receives while
#: its cold slots are in use.
COLD_SLOW_FACTOR: Final = 20


@dataclass(slots=True)
class TargetFaults:
    """Faults of a target stand-in; by default none is active.

    Parameters
    ----------
    straggle_factor : float
        Factor on every service time.
    draining : bool
        Whether new requests are refused with status 503 and
        ``X-Draining: yes``.
    cold_fails : bool
        Whether a cold target answers requests above its cold slots with
        status 500 instead of executing them slowly.
    late_seconds : float
        Delay of each answer after execution, in seconds.
    wrong_identifiers : int
        Number of coming answers with a wrong request identifier.
    wrong_versions : int
        Number of coming answers with a wrong index version.
    resets_before : int
        Number of coming requests whose connection is reset before execution.
    resets_after : int
        Number of coming requests whose connection is reset after execution.
    """

    straggle_factor: float = 1
    draining: bool = False
    cold_fails: bool = False
    late_seconds: float = 0
    wrong_identifiers: int = 0
    wrong_versions: int = 0
    resets_before: int = 0
    resets_after: int = 0

    def consume(self, counter: str) -> bool:
        """Decrement a counter of coming faults.

        Parameters
        ----------
        counter : str
            Name of the attribute, for example ``'resets_before'``.

        Returns
        -------
        bool
            Whether the counter was above zero, so that the fault applies now.

        Examples
        --------
        >>> faults = TargetFaults(resets_before=1)
        >>> faults.consume('resets_before'), faults.consume('resets_before')
        (True, False)
        """
        remaining = getattr(self, counter)
        if remaining:
            setattr(self, counter, remaining - 1)
        return bool(remaining)


def apply_faults(faults: TargetFaults, changes: dict[str, float]) -> None:
    """Set attributes of the faults.

    Parameters
    ----------
    faults : TargetFaults
        Faults to change.
    changes : dict
        New values by attribute name.

    Raises
    ------
    KeyError
        A name is not an attribute of `TargetFaults`. Nothing is changed.

    Examples
    --------
    >>> faults = TargetFaults()
    >>> apply_faults(faults, {'straggle_factor': 10})
    >>> faults.straggle_factor
    10
    """
    known = {fault.name for fault in fields(faults)}
    unknown = sorted(set(changes) - known)
    if unknown:
        raise KeyError(f'unknown faults: {unknown}')
    for name, setting in changes.items():
        setattr(faults, name, setting)
