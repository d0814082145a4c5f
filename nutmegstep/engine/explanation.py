"""Record of a refused, partial or slow request."""

from dataclasses import dataclass

from nutmegstep.model import LackingShard
from nutmegstep.verdict import Refusal

__all__ = ['Explanation']


@dataclass(frozen=True, slots=True)
class Explanation:
    """Record of a request that was refused, partial or slow.

    Parameters
    ----------
    request_ids : tuple of str
        Request identifiers of the callers that share the outcome.
    service : str
        Name of the service.
    kind : str
        ``refused``, ``partial`` or ``slow``.
    at : float
        Monotonic time of the reply in seconds.
    seconds : float
        Seconds from arrival to reply; 0 for a one-shot request and for a
        query that was refused on arrival.
    refusal : Refusal or None
        The refusal with its verdicts; None if the request was answered.
    index_version : int
        Pinned index version; 0 for a one-shot request and for a query that
        was refused before one was chosen.
    lacking : tuple of LackingShard
        Shards without a result, each with the reason.
    target_requests : int
        Number of targets that received a request at the last index version,
        summed over the shards; includes retries and hedges.
    hedges : int
        Number of shards with a hedge or a probe at the last index version.
    restarts : int
        Number of restarts at another index version.
    """

    request_ids: tuple[str, ...]
    service: str
    kind: str
    at: float
    seconds: float = 0
    refusal: Refusal | None = None
    index_version: int = 0
    lacking: tuple[LackingShard, ...] = ()
    target_requests: int = 0
    hedges: int = 0
    restarts: int = 0
