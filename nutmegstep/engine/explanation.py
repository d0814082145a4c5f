"""Why a query was refused, partial or slow."""

from dataclasses import dataclass

from nutmegstep.model import LackingShard
from nutmegstep.verdict import Refusal

__all__ = ['Explanation']


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why a request was refused, partial or slow.

    Parameters
    ----------
    request_ids : tuple of str
        Every caller's request that shared the outcome.
    service : str
        Name of the service.
    kind : str
        ``refused``, ``partial`` or ``slow``.
    at : float
        Monotonic instant of the reply in seconds.
    seconds : float
        Time since arrival; 0 for a request that was refused at once.
    refusal : Refusal or None
        The refusal with its verdicts.
    index_version : int
        Pinned snapshot; 0 when none was chosen.
    lacking : tuple of LackingShard
        Shards without a result, with the reasons.
    target_requests : int
        Targets asked at the last version, retries and hedges included.
    hedges : int
        Shards that were hedged at the last version.
    restarts : int
        Restarts at another version.
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
