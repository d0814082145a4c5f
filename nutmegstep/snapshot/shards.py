"""Shard maps of services, one for each index version."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.model import IndexVersion, Service, Shard

__all__ = ['ServiceShardMap', 'ShardMapCache']

_NOT_COMPUTED: Final = -1


@dataclass(slots=True)
class ServiceShardMap:
    """Shards of one index version that belong to the groups of a service.

    Parameters
    ----------
    number : int
        Number of the index version.
    shards_by_name : dict
        Shards by name, in the order of the index version's shard map.
    names : tuple of str
        Sorted names, to choose the shard of a record key.
    held_revision : int
        Value of `VersionHolders.revision` for which `is_held` was computed.
    is_held : bool
        Whether every shard has a replica that is known to hold the version.
    """

    number: int
    shards_by_name: dict[str, Shard]
    names: tuple[str, ...]
    held_revision: int = _NOT_COMPUTED
    is_held: bool = False


@dataclass(slots=True)
class ShardMapCache:
    """Cache of shard maps by service.

    It must be cleared when the catalogue or the services change.

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
        """Return the shard maps of a service, the newest version first.

        Parameters
        ----------
        service : Service
            Service whose shards are wanted.
        versions : Sequence of IndexVersion
            Versions in the catalogue of its index.
        """
        shard_maps = self.by_service.get(service.name)
        if shard_maps is None:
            descending = sorted(versions, key=_number, reverse=True)
            shard_maps = tuple(
                _build_shard_map(service, version) for version in descending
            )
            self.by_service[service.name] = shard_maps
        return shard_maps

    def clear(self) -> None:
        """Remove all cached shard maps."""
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
