"""Records of the requests that are not answered and of their sends."""

import math
from dataclasses import dataclass, field

from nutmegstep.accounts import ClientAccount
from nutmegstep.configuration import Route
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.content import content_digest
from nutmegstep.dispatch.events import RoutedRequest, TargetReply
from nutmegstep.verdict import Verdict

__all__ = ['Delegation', 'OpenRequest', 'Part', 'Send']


@dataclass(slots=True)
class Part:
    """Part of a request that is sent to one service.

    A request to several shards has one part per shard; any other request has
    a single part.

    Attributes
    ----------
    service : str
        Service that the part is sent to.
    pending_sends : set of int
        Identifiers of the sends without an outcome.
    tried_targets : set of str
        Identifiers of the targets that the part was sent to.
    possible_runs : int
        Number of sends whose targets run the request or may have run it.
    reply : TargetReply or None
        Usable reply.
    replied_at : float
        Monotonic time in seconds of the usable reply.
    failure : TargetReply or None
        Latest reply that is not usable.
    replied_by : str
        Identifier of the target that sent the latest of both.
    hedge_at : float
        Monotonic time in seconds at which a hedge is due; infinite if none is.
    is_stalled : bool
        Whether the part waits for a stalled target only.
    is_failed : bool
        Whether no reply is expected and the part is not sent again.
    """

    service: str
    pending_sends: set[int] = field(default_factory=set)
    tried_targets: set[str] = field(default_factory=set)
    possible_runs: int = 0
    reply: TargetReply | None = None
    replied_at: float = 0
    failure: TargetReply | None = None
    replied_by: str = ''
    hedge_at: float = math.inf
    is_stalled: bool = False
    is_failed: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether the part has neither a usable reply nor failed."""
        return self.reply is None and not self.is_failed


@dataclass(slots=True)
class Delegation:
    """Delegation of a request to a coordinator or another VM.

    Parameters
    ----------
    address : str
        ``host:port`` of the VM.
    accept_by : float
        Monotonic time in seconds by which it must confirm that it has read the
        request.
    is_accepted : bool
        Whether it has confirmed the request.
    delegation_id : int
        Identifier of this delegation. The end of an earlier one of the same
        request is told apart by it.
    """

    address: str
    accept_by: float
    is_accepted: bool = False
    delegation_id: int = 0


@dataclass(slots=True)
class OpenRequest:
    """Request that has not been answered.

    Attributes
    ----------
    request : RoutedRequest
        Request of the caller.
    route : Route
        Route of the request, from the configuration in force at its arrival.
    parts : tuple of Part
        Parts of the request, one per service that it is sent to.
    partial_answer_at : float
        Monotonic time in seconds from which a partial answer is sent although
        missing parts may still be answered.
    deadline : float
        Monotonic time in seconds by which the request is answered or refused.
    required : int
        Minimum number of parts with a usable reply in an answer.
    answered : int
        Number of parts with a usable reply.
    held_parts : list of Part
        Parts that are sent, or sent again, when another one has been answered or
        none is pending, as the request may crash its targets.
    lost_services : set of str
        Services whose targets closed a connection without a response.
    probe_generation : int or None
        Crashes in a row that were known when the request became a probe of
        restricted content; None if it is none.
    next_lone_hedge_at : float
        Monotonic time in seconds until which no part is hedged while none has
        been answered.
    delegation : Delegation or None
        Other VM that serves the request; None if this VM does.
    substitutes_asked : int
        Number of VMs that were asked to serve the request because this VM
        reaches no target.
    account : ClientAccount or None
        Account of the caller; None for a caller without one.
    token_expires_at : float or None
        Monotonic time in seconds until which the token of its account may be
        used; None without one.
    awaits_token_until : float or None
        Monotonic time in seconds until which it waits for a token; None if it does
        not.
    """

    request: RoutedRequest
    route: Route
    parts: tuple[Part, ...]
    partial_answer_at: float
    deadline: float
    required: int
    answered: int = 0
    held_parts: list[Part] = field(default_factory=list)
    lost_services: set[str] = field(default_factory=set)
    probe_generation: int | None = None
    next_lone_hedge_at: float = 0
    delegation: Delegation | None = None
    substitutes_asked: int = 0
    account: ClientAccount | None = None
    token_expires_at: float | None = None
    awaits_token_until: float | None = None
    _content: str = ''

    @property
    def rank(self) -> tuple[int, int]:
        """Rank of the account, then that of the route; 0 is the most urgent.

        A caller without an account has the most urgent rank of accounts.
        """
        account_rank = 0 if self.account is None else self.account.rank
        return account_rank, self.route.priority

    @property
    def content(self) -> str:
        """Digest that all attempts with the same content share."""
        if not self._content:
            self._content = content_digest(self.request)
        return self._content

    @property
    def is_unanswered_query(self) -> bool:
        """Whether it goes to several shards and none has answered."""
        return len(self.parts) > 1 and not self.answered

    @property
    def can_be_answered(self) -> bool:
        """Whether enough parts have been answered or may still be."""
        failed = sum(
            part.is_failed and part.reply is None for part in self.parts
        )
        return len(self.parts) - failed >= self.required

    @property
    def has_pending_sends(self) -> bool:
        """Whether the outcome of any send is open."""
        return any(part.pending_sends for part in self.parts)

    @property
    def verdict(self) -> Verdict:
        """Whether a target may have run any part of the request."""
        may_have_run = any(part.possible_runs for part in self.parts)
        return Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN


@dataclass(frozen=True, slots=True)
class Send:
    """Send of one part to a target.

    Attributes
    ----------
    open_request : OpenRequest
        Request that the part belongs to.
    part : Part
        Part that was sent.
    target : TargetRecord
        Target that it was sent to.
    sent_at : float
        Monotonic time of the send in seconds.
    """

    open_request: OpenRequest
    part: Part
    target: TargetRecord
    sent_at: float
