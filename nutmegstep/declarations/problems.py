"""Problems found in declarations."""

from dataclasses import dataclass
from pathlib import Path

__all__ = ['Problem']


@dataclass(frozen=True, slots=True)
class Problem:
    """A fault in declarations that an operator has to correct.

    Parameters
    ----------
    path : pathlib.Path or None
        File; None if the problem concerns all files together.
    line : int or None
        Line, counted from 1; None if it is unknown.
    field : str
        Dotted name of the field; empty if the problem concerns the whole
        file.
    text : str
        Description of the fault and of what is allowed.

    Examples
    --------
    >>> str(Problem(Path('a.toml'), 3, 'fleet.entry_vms_max', 'at least 1'))
    'a.toml:3: fleet.entry_vms_max: at least 1'
    """

    path: Path | None
    line: int | None
    field: str
    text: str

    def __str__(self) -> str:
        """Return a description in one line."""
        place = 'declarations' if self.path is None else str(self.path)
        if self.line is not None:
            place = f'{place}:{self.line}'
        parts = (place, self.field, self.text)
        return ': '.join(part for part in parts if part)
