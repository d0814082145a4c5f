"""Chooses one index version for all shards of a query."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

from nutmegstep.snapshot.shards import ServiceShardMap

__all__ = ['MAX_RESTARTS', 'VersionHolders', 'choose_version']

MAX_RESTARTS: Final = 2

# A target loads a version some time after the catalogue lists it. Without an
# expiry a version that all replicas once lacked would never be asked for.
_NOT_HELD_SECONDS: Final = 1

_VersionKey = tuple[str, int]
_NO_TARGETS: Final[Mapping[str, float]] = MappingProxyType({})


@dataclass(slots=True)
class VersionHolders:
    """Which targets were seen to hold or to lack an index version.

    Parameters
    ----------
    revision : int
        Grows with each change of the holders.
    """

    holders_by_version: dict[_VersionKey, set[str]] = field(
        default_factory=dict,
    )
    not_held_until_by_version: dict[_VersionKey, dict[str, float]] = field(
        default_factory=dict,
    )
    revision: int = 0

    def record_held(self, index: str, number: int, target: str) -> bool:
        """Record that a target holds a version.

        Returns
        -------
        bool
            Whether this was not known before.
        """
        key = (index, number)
        holders = self.holders_by_version.get(key)
        if holders is None:
            holders = self.holders_by_version.setdefault(key, set())
        if target in holders:
            return False
        holders.add(target)
        self.revision += 1
        self.not_held_until_by_version.get(key, {}).pop(target, None)
        return True

    def record_not_held(
        self,
        index: str,
        number: int,
        target: str,
        now: float,
    ) -> None:
        """Record that a target said that it does not hold a version."""
        key = (index, number)
        self.holders_by_version.get(key, set()).discard(target)
        self.revision += 1
        not_held = self.not_held_until_by_version.setdefault(key, {})
        not_held[target] = now + _NOT_HELD_SECONDS

    def is_not_held(
        self, index: str, number: int, target: str, now: float
    ) -> bool:
        """Return whether a target is known to lack a version."""
        not_held = self.not_held_until_by_version.get((index, number))
        return not_held is not None and not_held.get(target, now) > now

    def not_held_until_by_target(
        self, index: str, number: int
    ) -> Mapping[str, float]:
        """Return until when each target counts as not_held a version."""
        return self.not_held_until_by_version.get((index, number), _NO_TARGETS)

    def keep_only(self, index: str, numbers: Collection[int]) -> None:
        """Forget versions of an index that left the catalogue."""
        self.revision += 1
        for by_version in (
            self.holders_by_version,
            self.not_held_until_by_version,
        ):
            gone = [
                key
                for key in by_version
                if key[0] == index and key[1] not in numbers
            ]
            for key in gone:
                del by_version[key]


def choose_version(
    newest_first: Sequence[ServiceShardMap],
    index: str,
    held: VersionHolders,
    now: float,
    excluded: Collection[int] = (),
) -> ServiceShardMap | None:
    """Return the version that a new query is pinned to.

    Parameters
    ----------
    newest_first : Sequence of ServiceShardMap
        Shards of the service in each version of the catalogue.
    index : str
        Name of the index.
    held : VersionHolders
        What targets said about the versions they hold.
    now : float
        Monotonic instant in seconds.
    excluded : Collection of int, optional
        Versions that the query has tried before.

    Returns
    -------
    ServiceShardMap or None
        The newest version of which every shard has a replica that was seen to
        hold it, else the newest one that no replica set is known to lack.
    """
    for version in newest_first:
        if version.number in excluded:
            continue
        if _is_held_everywhere(version, index, held):
            return version
    for candidate in newest_first:
        if candidate.number in excluded:
            continue
        if not _is_not_held_somewhere(candidate, index, held, now):
            return candidate
    return None


def _is_held_everywhere(
    version: ServiceShardMap,
    index: str,
    held: VersionHolders,
) -> bool:
    if version.held_revision != held.revision:
        holders = held.holders_by_version.get((index, version.number))
        version.held_revision = held.revision
        version.is_held = holders is not None and all(
            not holders.isdisjoint(shard.replicas)
            for shard in version.shards_by_name.values()
        )
    return version.is_held


def _is_not_held_somewhere(
    version: ServiceShardMap,
    index: str,
    held: VersionHolders,
    now: float,
) -> bool:
    return any(
        all(
            held.is_not_held(index, version.number, target, now)
            for target in shard.replicas
        )
        for shard in version.shards_by_name.values()
    )
