"""Crashes of targets for which one content is suspected."""

import math
from dataclasses import dataclass
from typing import Final

from nutmegstep.dispatch.control_events import CrashRecord
from nutmegstep.dispatch.losses import Loss

__all__ = ['CLEAR_SECONDS', 'ContentCrashes', 'Crash']

CLEAR_SECONDS: Final = 1.0
"""Time in which a harmless request that is sent often runs on some target after
many have crashed at once."""
_MAX_CRASHES: Final = 3
"""Crashes in a row from which a request is refused."""
_URGENT_SERVICES: Final = 3
"""Shards whose targets an unanswered request has lost before other VMs are told
of it at once."""
_PUBLISH_SECONDS: Final = 0.25
"""Time after which a first crash is published, unless a request has lost the
targets of many shards. A repeat usually clears it before."""


@dataclass(slots=True)
class Crash:
    """A crashed target on which some content was in flight.

    Attributes
    ----------
    seen_at : float
        Monotonic time in seconds at which this VM learned of it.
    next_send_id : int
        Identifier of the first send that this VM made after it had learned of it.
    is_published : bool
        Whether the record is in the store or on its way.
    is_stored : bool
        Whether the record has been read from the store.
    publish_at : float
        Monotonic time in seconds from which the record may be published.
    """

    seen_at: float
    next_send_id: int
    is_published: bool = False
    is_stored: bool = False
    publish_at: float = 0


class ContentCrashes:
    """Crashes that happened while the same content was in flight.

    Attributes
    ----------
    by_record : dict
        Crashes, by their record in the store.
    """

    def __init__(self) -> None:
        self.by_record: dict[CrashRecord, Crash] = {}

    @property
    def services(self) -> frozenset[str]:
        """Services of the targets that have crashed."""
        return frozenset(one.service for one in self.by_record)

    def count(
        self, before_send: float = math.inf, service: str | None = None
    ) -> int:
        """Return the number of crashes in a row.

        Parameters
        ----------
        before_send : float, optional
            Identifier of a send; only crashes that were known then count.
        service : str or None, optional
            Only crashes of targets of this service count, if it is given.
        """
        known = [
            record
            for record, crash in self.by_record.items()
            if crash.next_send_id <= before_send
            and (service is None or record.service in {service, ''})
        ]
        # Records without a generation are those of older releases, which wrote
        # one for each crash.
        distinct = {one.generation or one.incarnation for one in known}
        return max(len(distinct), *(one.generation for one in known), 0)

    def is_refused(self, now: float) -> bool:
        """Return whether the content has crashed too many targets.

        Crashes that were not in a row count as well if the content has not run
        for some time since: in a large fleet, many VMs send it before they
        learn of the first crash, and no target may be left for another send.
        """
        if len(self.by_record) < _MAX_CRASHES and self.count() < _MAX_CRASHES:
            return False
        first_seen_at = min(one.seen_at for one in self.by_record.values())
        return self.count() >= _MAX_CRASHES or (
            now >= first_seen_at + CLEAR_SECONDS
        )

    def add_loss(self, loss: Loss, now: float) -> None:
        """Add a crash that this VM has observed.

        It is not added if as many crashes in a row are known. If other shards
        have answered the request, only its crashes of the same shard are in a
        row: it can be harmless there, and the others have another cause.
        """
        answered = loss.open_request.answered
        lost = len(loss.open_request.lost_services)
        is_urgent = not answered and lost >= _URGENT_SERVICES
        if is_urgent:
            for known in self.by_record.values():
                known.publish_at = min(known.publish_at, now)
        service = loss.service if answered else None
        generation = self.count(loss.send_id, service) + 1
        if generation <= self.count():
            return
        crash = Crash(loss.at, loss.next_send_id)
        if generation == 1 and not is_urgent:
            crash.publish_at = loss.at + _PUBLISH_SECONDS
        incarnation = f'{loss.target_id}-{loss.started_ms}'
        record = CrashRecord(
            loss.content, incarnation, generation, loss.service
        )
        self.by_record[record] = crash
