"""Reads and validates one declaration file."""

import tomllib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from pydantic import ValidationError
from pydantic_core import ErrorDetails
from returns.result import Failure, Result, Success

from nutmegstep.declarations.files import DeclarationFile
from nutmegstep.declarations.locate import find_line
from nutmegstep.declarations.problems import Problem

__all__ = ['ParsedFile', 'parse_text', 'read_file']

_DEFAULTS: Final = 'target_defaults'
_TARGETS: Final = 'targets'
_ERRORS_WITHOUT_INPUT: Final = frozenset(('missing', 'extra_forbidden'))


@dataclass(frozen=True, slots=True)
class ParsedFile:
    """A valid declaration file.

    Its text is kept to find the lines of problems that later checks report.
    """

    path: Path
    text: str
    content: DeclarationFile

    def problem(self, location: Sequence[str], text: str) -> Problem:
        """Return a problem of a field, with the field's line in the file."""
        line = find_line(self.text, location)
        return Problem(self.path, line, '.'.join(location), text)


ParseResult = Result[ParsedFile, tuple[Problem, ...]]


def read_file(path: Path) -> ParseResult:
    """Read a file and parse its text."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Problem(path, None, '', f'cannot be read: {error}'),))
    return parse_text(path, text)


def parse_text(path: Path, text: str) -> ParseResult:
    """Parse the text of a file.

    Parameters
    ----------
    path : pathlib.Path
        Path that problems name.
    text : str
        TOML document.

    Returns
    -------
    returns.result.Result
        The parsed file, or all problems found in it.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Failure((Problem(path, None, '', f'invalid TOML: {error}'),))
    try:
        content = DeclarationFile.model_validate(_fill_defaults(document))
    except ValidationError as invalid:
        return Failure(
            tuple(
                _describe_error(path, text, found) for found in invalid.errors()
            ),
        )
    return Success(ParsedFile(path, text, content))


def _fill_defaults(document: dict[str, Any]) -> dict[str, Any]:
    defaults = document.get(_DEFAULTS)
    targets = document.get(_TARGETS)
    if not isinstance(defaults, dict) or not isinstance(targets, dict):
        return document
    filled = {
        name: {**defaults, **target} if isinstance(target, dict) else target
        for name, target in targets.items()
    }
    rest = {key: part for key, part in document.items() if key != _DEFAULTS}
    return {**rest, _TARGETS: filled}


def _describe_error(path: Path, text: str, found: ErrorDetails) -> Problem:
    location = tuple(str(part) for part in found['loc'])
    message = found['msg']
    if found['type'] not in _ERRORS_WITHOUT_INPUT:
        message = f'{message}, got {found["input"]!r}'
    line = find_line(text, location)
    return Problem(path, line, '.'.join(location), message)
