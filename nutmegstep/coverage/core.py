"""Builds answers that account for every shard of the shard map."""

from collections.abc import Mapping, Set

from nutmegstep.model import Answer, LackingShard

__all__ = ['CoverageMismatchError', 'build_answer']


class CoverageMismatchError(ValueError):
    """Covered and lacking shards do not make up the shard map exactly once."""


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
        Index version of all results.
    shards : Set of str
        Names of the shards that the request asks for.
    results_by_shard : Mapping
        JSON document of each shard that answered.
    lacking_by_shard : Mapping
        Reason for each shard without a result.

    Returns
    -------
    Answer
        Answer with the covered and the lacking shards, sorted by name.

    Raises
    ------
    CoverageMismatchError
        If a shard has neither a result nor a reason, has both, or is not one
        of `shards`.

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
            f'service {service}, index version {index_version}: covered shards '
            f'{sorted(covered)} and lacking shards {sorted(listed)} do not '
            f'match the requested shards {sorted(shards)}',
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
