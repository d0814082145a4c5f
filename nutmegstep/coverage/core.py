"""Builds answers whose coverage matches the shard map of the snapshot."""

from collections.abc import Mapping, Set

from nutmegstep.model import Answer, LackingShard

__all__ = ['CoverageMismatchError', 'build_answer']


class CoverageMismatchError(ValueError):
    """Covered and lacking shards together are not exactly the shard map."""


def build_answer(
    service: str,
    index_version: int,
    shards: Set[str],
    results_by_shard: Mapping[str, bytes],
    lacking_by_shard: Mapping[str, str],
) -> Answer:
    """Build the answer of a query that has an outcome for every shard.

    Parameters
    ----------
    service : str
        Name of the service.
    index_version : int
        Pinned snapshot.
    shards : Set of str
        Names in the shard map of the snapshot that the request covers.
    results_by_shard : Mapping
        JSON document of each shard that answered.
    lacking_by_shard : Mapping
        Reason for each shard that did not.

    Returns
    -------
    Answer
        Covered and lacking shards sorted by name.

    Raises
    ------
    CoverageMismatchError
        If a shard has no outcome, has two, or is not in the shard map.

    Examples
    --------
    >>> answer = build_answer(
    ...     'stock', 4, {'a', 'b'}, {'a': b'2'}, {'b': 'reset'}
    ... )
    >>> answer.covered, answer.complete
    (('a',), False)
    """
    covered = results_by_shard.keys()
    if not lacking_by_shard and covered == shards:
        names = tuple(sorted(covered))
        return Answer(service, index_version, names, (), results_by_shard)
    listed = lacking_by_shard.keys()
    if covered | listed != shards or not covered.isdisjoint(listed):
        raise CoverageMismatchError(
            f'service {service}, version {index_version}: covered '
            f'{sorted(covered)} and lacking {sorted(listed)} are not the '
            f'shard map {sorted(shards)}',
        )
    lacking = tuple(
        LackingShard(shard, reason)
        for shard, reason in sorted(lacking_by_shard.items())
    )
    return Answer(
        service,
        index_version,
        tuple(sorted(covered)),
        lacking,
        results_by_shard,
    )
