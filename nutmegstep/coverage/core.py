"""Builds answers whose coverage matches the shard map of the snapshot."""

from collections.abc import Mapping

from nutmegstep.model import Answer, LackingShard

__all__ = ['build_answer']


def build_answer(
    service: str,
    index_version: int,
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
    results_by_shard : Mapping
        JSON document of each shard that answered.
    lacking_by_shard : Mapping
        Reason for each shard that did not.

    Returns
    -------
    Answer
        Covered and lacking shards sorted by name.

    Examples
    --------
    >>> build_answer('stock', 4, {'b': b'1', 'a': b'2'}, {'c': 'reset'}).covered
    ('a', 'b')
    """
    lacking = tuple(
        LackingShard(shard, reason)
        for shard, reason in sorted(lacking_by_shard.items())
    )
    return Answer(
        service,
        index_version,
        tuple(sorted(results_by_shard)),
        lacking,
        results_by_shard,
    )
