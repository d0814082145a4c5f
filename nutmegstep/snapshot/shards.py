"""Shard maps of services, derived once per index version."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.model import IndexVersion, Service, Shard

__all__ = ['ServiceShardMap', 'ShardMapCache']

_NEVER: Final = -1


@dataclass(slots=True)
class ServiceShardMap:
    """Shards of one index version that a service covers.

    Parameters
    ----------
    number : int
        Of the index version.
    shards_by_name : dict
        In the order of the shard map.
    names : tuple of str
        Sorted, to choose the shard of a record key.
    held_revision : int
        State of `VersionHolders` for which `is_held` was computed.
    is_held : bool
        Whether every shard has a replica that was seen to hold the version.
    """

    number: int
    shards_by_name: dict[str, Shard]
    names: tuple[str, ...]
    held_revision: int = _NEVER
    is_held: bool = False


@dataclass(slots=True)
class ShardMapCache:
    """Shard maps by service; cleared when catalogue or services change.

    Examples
    --------
    >>> ShardMapCache().by_service
    {}
    """

    by_service: dict[str, tuple[ServiceShardMap, ...]] = field(
        default_factory=dict,
    )

    def newest_first(
        self,
        service: Service,
        versions: Sequence[IndexVersion],
    ) -> tuple[ServiceShardMap, ...]:
        """Return the shard map of each version of the catalogue.

        Parameters
        ----------
        service : Service
            Service whose shards are wanted.
        versions : Sequence of IndexVersion
            The catalogue of its index.
        """
        known = self.by_service.get(service.name)
        if known is None:
            descending = sorted(versions, key=_number, reverse=True)
            known = tuple(
                _build_shard_map(service, version) for version in descending
            )
            self.by_service[service.name] = known
        return known

    def clear(self) -> None:
        """Forget everything that was derived."""
        self.by_service.clear()


def _number(version: IndexVersion) -> int:
    return version.number


def _build_shard_map(
    service: Service, version: IndexVersion
) -> ServiceShardMap:
    shards_by_name = {
        shard.name: shard
        for shard in version.shards_by_name.values()
        if shard.group in service.groups
    }
    names = tuple(sorted(shards_by_name))
    return ServiceShardMap(version.number, shards_by_name, names)
