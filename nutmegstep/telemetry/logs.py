"""JSON log lines on standard error."""

import logging

from pythonjsonlogger.json import JsonFormatter

__all__ = ['configure_logs']


def configure_logs(level: str) -> None:
    """Write log records of `level` and above as JSON lines.

    Parameters
    ----------
    level : str
        Name of a logging level.
    """
    handler = logging.StreamHandler()
    handler.setFormatter(
        JsonFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
        ),
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
