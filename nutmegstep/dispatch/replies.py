"""Replies of targets."""

from dataclasses import dataclass
from typing import Final

__all__ = ['HeaderItems', 'TargetReply']

_PROMISES: Final = frozenset((408, 421, 429, 503))
"""Statuses that promise a caller that its request has not run and never will."""

HeaderItems = tuple[tuple[bytes, bytes], ...]
"""Names and values of HTTP headers."""


@dataclass(frozen=True, slots=True)
class TargetReply:
    """Complete reply of a target.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : tuple of pairs
        Headers to pass on to the caller.
    body : bytes
        Complete body.
    signature : str
        Signature of the target, which shows that the reply comes from it;
        empty if there is none.
    was_executed : bool
        False when the target states that it did not run the request.
    is_misdirected : bool
        Whether a target other than the intended one answered.
    request_limit : float or None
        Requests per second that the target accepts from all VMs together;
        None if it states no limit.
    is_leaving : bool
        Whether the target states that it is about to exit.
    retry_after : float or None
        Seconds for which the target, which has turned the request away, wants no
        request of this VM; None if it does not say so.
    invalid_retry_after : str
        What the target stated instead of such a time; empty if it is valid.
    """

    status: int
    headers: HeaderItems
    body: bytes
    signature: str
    was_executed: bool = True
    is_misdirected: bool = False
    request_limit: float | None = None
    is_leaving: bool = False
    retry_after: float | None = None
    invalid_retry_after: str = ''

    @property
    def may_be_passed_on(self) -> bool:
        """Whether the reply may become the answer to the caller.

        Without a signature nothing shows that it comes from the target. A status
        that promises the caller that its request has not run would be untrue.
        """
        return (
            bool(self.signature)
            and self.was_executed
            and not self.promises_not_run
        )

    @property
    def promises_not_run(self) -> bool:
        """Whether callers take the status for a promise that nothing has run."""
        return self.status in _PROMISES

    @property
    def has_success_status(self) -> bool:
        """Whether the status is 2xx, which alone is no success."""
        return 200 <= self.status < 300

    @property
    def is_success(self) -> bool:
        """Whether the reply is a success that may be passed on."""
        return self.has_success_status and self.may_be_passed_on
