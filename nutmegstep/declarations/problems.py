"""Problems found in declarations."""

from dataclasses import dataclass
from pathlib import Path

__all__ = ['Problem']


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that an operator has to correct.

    Parameters
    ----------
    path : pathlib.Path or None
        File; None when the problem concerns all files together.
    line : int or None
        Line from 1; None when it is unknown.
    field : str
        Dotted name of the field, empty for the whole file.
    text : str
        What is wrong and what is allowed.

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
        """Return one line for a person."""
        place = 'declarations' if self.path is None else str(self.path)
        if self.line is not None:
            place = f'{place}:{self.line}'
        parts = (place, self.field, self.text)
        return ': '.join(part for part in parts if part)
