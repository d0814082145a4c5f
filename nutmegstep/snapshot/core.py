"""Chooses the index version at which all shards of a query are read."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

from nutmegstep.snapshot.shards import ServiceShardMap

__all__ = ['MAX_RESTARTS', 'VersionHolders', 'choose_version']

MAX_RESTARTS: Final = 2
"""How often a query may start again at another index version."""

# A target loads a version some time after the catalogue lists it. Without this
# limit, a version that no replica held at first would never be requested again.
_NOT_HELD_SECONDS: Final = 1

_VersionKey = tuple[str, int]
_NO_TARGETS: Final[Mapping[str, float]] = MappingProxyType({})


@dataclass(slots=True)
class VersionHolders:
    """Which targets hold an index version, as seen in their replies.

    Parameters
    ----------
    holders_by_version : dict
        Names of the targets that hold a version, by index and version number.
    not_held_until_by_version : dict
        Targets that replied that they do not hold a version, by index and
        version number; each with the monotonic time in seconds at which the
        reply expires.
    revision : int
        Incremented with each change of the holders.
    """

    holders_by_version: dict[_VersionKey, set[str]] = field(
        default_factory=dict,
    )
    not_held_until_by_version: dict[_VersionKey, dict[str, float]] = field(
        default_factory=dict,
    )
    revision: int = 0

    def record_held(self, index: str, number: int, target: str) -> bool:
        """Record that a target holds a version of an index.

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
        """Record that a target replied that it does not hold a version.

        The reply counts for 1 s from the monotonic time `now` in seconds.
        """
        key = (index, number)
        self.holders_by_version.get(key, set()).discard(target)
        self.revision += 1
        not_held = self.not_held_until_by_version.setdefault(key, {})
        not_held[target] = now + _NOT_HELD_SECONDS

    def is_not_held(
        self, index: str, number: int, target: str, now: float
    ) -> bool:
        """Return whether a target is known not to hold a version now."""
        not_held = self.not_held_until_by_version.get((index, number))
        return not_held is not None and not_held.get(target, now) > now

    def not_held_until_by_target(
        self, index: str, number: int
    ) -> Mapping[str, float]:
        """Return until when targets are known not to hold a version.

        Returns
        -------
        Mapping
            Monotonic time in seconds by the name of the target; it may be in
            the past.
        """
        return self.not_held_until_by_version.get((index, number), _NO_TARGETS)

    def keep_only(self, index: str, numbers: Collection[int]) -> None:
        """Remove the versions of an index that left the catalogue.

        Parameters
        ----------
        index : str
            Name of the index.
        numbers : Collection of int
            Versions in the catalogue.
        """
        self.revision += 1
        for by_version in (
            self.holders_by_version,
            self.not_held_until_by_version,
        ):
            removed = [
                key
                for key in by_version
                if key[0] == index and key[1] not in numbers
            ]
            for key in removed:
                del by_version[key]


def choose_version(
    newest_first: Sequence[ServiceShardMap],
    index: str,
    version_holders: VersionHolders,
    now: float,
    excluded: Collection[int] = (),
) -> ServiceShardMap | None:
    """Return the index version at which a query is read.

    Parameters
    ----------
    newest_first : Sequence of ServiceShardMap
        Shard map of the service in each version of the catalogue.
    index : str
        Name of the index.
    version_holders : VersionHolders
        Targets that hold each version.
    now : float
        Monotonic time in seconds.
    excluded : Collection of int, optional
        Versions that the query has tried before.

    Returns
    -------
    ServiceShardMap or None
        The newest version that at least one replica of every shard is known to
        hold. If there is none, the newest version without a shard whose
        replicas are all known not to hold it. None if no version is left.
    """
    for version in newest_first:
        if version.number in excluded:
            continue
        if _is_held_everywhere(version, index, version_holders):
            return version
    for candidate in newest_first:
        if candidate.number in excluded:
            continue
        if not _is_not_held_somewhere(candidate, index, version_holders, now):
            return candidate
    return None


def _is_held_everywhere(
    version: ServiceShardMap,
    index: str,
    version_holders: VersionHolders,
) -> bool:
    if version.held_revision != version_holders.revision:
        holders = version_holders.holders_by_version.get(
            (index, version.number)
        )
        version.held_revision = version_holders.revision
        version.is_held = holders is not None and all(
            not holders.isdisjoint(shard.replicas)
            for shard in version.shards_by_name.values()
        )
    return version.is_held


def _is_not_held_somewhere(
    version: ServiceShardMap,
    index: str,
    version_holders: VersionHolders,
    now: float,
) -> bool:
    return any(
        all(
            version_holders.is_not_held(index, version.number, target, now)
            for target in shard.replicas
        )
        for shard in version.shards_by_name.values()
    )
