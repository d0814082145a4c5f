"""Builds a configuration from declaration files."""

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Final

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from nutmegstep.declarations.parse import ParsedFile, read_file
from nutmegstep.declarations.problems import Problem
from nutmegstep.declarations.validate import check_across_files
from nutmegstep.model import Fleet

__all__ = ['FILE_PATTERN', 'collect_declarations', 'find_files']

FILE_PATTERN: Final = '*nutmegstep.toml'


def find_files(paths: Iterable[Path]) -> tuple[Path, ...]:
    """Return the declaration files below `paths`, sorted and each once.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Files, which are returned whatever their names, and directories, which
        are searched for files whose names end in ``nutmegstep.toml``.
    """
    found = {file for path in paths for file in _files_below(path)}
    return tuple(sorted(found))


def collect_declarations(
    paths: Iterable[Path],
) -> Result[Fleet, tuple[Problem, ...]]:
    """Read and check declaration files and build their configuration.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Files and directories, as in `find_files`.

    Returns
    -------
    returns.result.Result
        The configuration with generation 0, or all problems found.
    """
    parsed = [read_file(path) for path in find_files(paths)]
    problems = [
        problem
        for outcome in parsed
        if not is_successful(outcome)
        for problem in outcome.failure()
    ]
    # The checks across files are skipped: they would report the content of
    # files that could not be read as missing.
    if problems:
        return Failure(tuple(problems))
    files = [outcome.unwrap() for outcome in parsed]
    problems_across_files = check_across_files(files)
    return (
        Failure(problems_across_files)
        if problems_across_files
        else Success(_build_fleet(files))
    )


def _files_below(path: Path) -> Iterable[Path]:
    if path.is_dir():
        return path.rglob(FILE_PATTERN)
    return (path,)


def _build_fleet(files: Sequence[ParsedFile]) -> Fleet:
    section = next(file.content.fleet for file in files if file.content.fleet)
    return Fleet(
        0,
        {
            name: service.to_service(name)
            for file in files
            for name, service in file.content.services.items()
        },
        {
            name: target.to_target(name)
            for file in files
            for name, target in file.content.targets.items()
        },
        section.entry_vms_max,
        section.entry_vms_per_domain,
    )
