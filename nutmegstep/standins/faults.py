"""Faults that can be switched on at a target stand-in."""

from dataclasses import dataclass, fields
from typing import Final

__all__ = ['COLD_SLOW_FACTOR', 'TargetFaults', 'apply_faults']

#: Factor on the service time of a cold target above its cold slots.
COLD_SLOW_FACTOR: Final = 20


@dataclass(slots=True)
class TargetFaults:
    """Switches of a target stand-in.

    Parameters
    ----------
    straggle_factor : float
        Factor on every service time.
    draining : bool
        Refuse new requests with ``X-Draining: yes``.
    cold_fails : bool
        Fail above the cold slots instead of slowing down.
    late_seconds : float
        Time between execution and answer.
    wrong_identifiers : int
        Next answers that carry another request's identifier.
    wrong_versions : int
        Next answers that carry another index version.
    resets_before : int
        Next requests whose connection is reset before execution.
    resets_after : int
        Next requests whose connection is reset after execution.
    """

    straggle_factor: float = 1
    draining: bool = False
    cold_fails: bool = False
    late_seconds: float = 0
    wrong_identifiers: int = 0
    wrong_versions: int = 0
    resets_before: int = 0
    resets_after: int = 0

    def take(self, counter: str) -> bool:
        """Use up one of the next faults of a kind; False when none is left.

        Examples
        --------
        >>> faults = TargetFaults(resets_before=1)
        >>> faults.take('resets_before'), faults.take('resets_before')
        (True, False)
        """
        left = getattr(self, counter)
        if left:
            setattr(self, counter, left - 1)
        return bool(left)


def apply_faults(faults: TargetFaults, changes: dict[str, float]) -> None:
    """Set the named switches.

    Raises
    ------
    KeyError
        A name is not a switch.

    Examples
    --------
    >>> faults = TargetFaults()
    >>> apply_faults(faults, {'straggle_factor': 10})
    >>> faults.straggle_factor
    10
    """
    known = {switch.name for switch in fields(faults)}
    unknown = sorted(set(changes) - known)
    if unknown:
        raise KeyError(f'unknown faults: {unknown}')
    for name, setting in changes.items():
        setattr(faults, name, setting)
