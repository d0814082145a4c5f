"""Client accounts: the keys that identify them, their ranks and limits."""

from nutmegstep.accounts.bounds import AccountBound, LimitTolerance
from nutmegstep.accounts.core import (
    AccountDirectory,
    ClientAccount,
    build_directory,
    key_digest,
)

__all__ = [
    'AccountBound',
    'AccountDirectory',
    'ClientAccount',
    'LimitTolerance',
    'build_directory',
    'key_digest',
]
