"""Client accounts and the lookup of the account that holds a key.

Keys are kept as digests: neither a dump of the memory of a VM nor a log line
shows one that could be used.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import sha256
from types import MappingProxyType

__all__ = [
    'AccountDirectory',
    'ClientAccount',
    'build_directory',
    'key_digest',
]


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Account in whose name callers send requests.

    Parameters
    ----------
    name : str
        Name of the account, which targets are told.
    rank : int
        Rank of its requests, which goes before the priority of their route; 0 is
        the most urgent.
    rate : float
        Requests per second that all VMs together admit; 0 if there is no limit.
    burst : float
        Requests that they admit at once in addition.
    """

    name: str
    rank: int = 0
    rate: float = 0
    burst: float = 0

    @property
    def is_limited(self) -> bool:
        """Whether the rate of its requests is limited."""
        return self.rate > 0


@dataclass(frozen=True, slots=True)
class AccountDirectory:
    """Accounts of one version of the configuration.

    Parameters
    ----------
    by_name : Mapping
        Accounts by name.
    by_key_digest : Mapping
        Accounts by the digests of their keys. Several keys may belong to one
        account.
    """

    by_name: Mapping[str, ClientAccount]
    by_key_digest: Mapping[str, ClientAccount]


def key_digest(key: bytes) -> str:
    """Return the digest by which a key is known.

    Parameters
    ----------
    key : bytes
        Key as a caller sends it.

    Returns
    -------
    str
        Digest of 256 bits in 64 hexadecimal digits.

    Examples
    --------
    >>> key_digest(b'k')[:8]
    '8254c329'
    """
    return sha256(key).hexdigest()


def build_directory(
    keys_by_account: Iterable[tuple[ClientAccount, Iterable[str]]],
) -> AccountDirectory:
    """Return the directory of accounts with their keys.

    Parameters
    ----------
    keys_by_account : Iterable of tuple
        Accounts, each with its keys.

    Returns
    -------
    AccountDirectory
        The directory, which holds digests of the keys. A key that several
        accounts hold identifies none of them, since targets must not be told the
        name of another account.
    """
    by_name: dict[str, ClientAccount] = {}
    by_digest: dict[str, ClientAccount] = {}
    ambiguous: set[str] = set()
    for account, keys in keys_by_account:
        by_name[account.name] = account
        digests = frozenset(key_digest(key.encode()) for key in keys)
        for digest in digests:
            if by_digest.setdefault(digest, account) is not account:
                ambiguous.add(digest)
    for digest in ambiguous:
        by_digest.pop(digest)
    return AccountDirectory(
        MappingProxyType(by_name), MappingProxyType(by_digest)
    )
