"""Chooses one index version for all shards of a query."""

from collections.abc import Sequence

from nutmegstep.model import IndexVersion, Service, Shard

__all__ = ['choose_version', 'service_shards']


def choose_version(versions: Sequence[IndexVersion]) -> IndexVersion | None:
    """Return the newest version, or None when the catalogue is empty.

    Examples
    --------
    >>> choose_version([IndexVersion(1, {}), IndexVersion(2, {})]).number
    2
    """
    return max(versions, key=lambda version: version.number, default=None)


def service_shards(
    service: Service,
    version: IndexVersion,
) -> dict[str, Shard]:
    """Return the shards of a version that a service covers, by name."""
    return {
        shard.name: shard
        for shard in version.shards_by_name.values()
        if shard.group in service.groups
    }
