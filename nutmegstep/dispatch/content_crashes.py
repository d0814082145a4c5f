"""Crashes of targets for which one content is suspected."""

import math
from dataclasses import dataclass, replace
from typing import Final

from nutmegstep.dispatch.control_events import CrashRecord
from nutmegstep.dispatch.losses import Loss
from nutmegstep.dispatch.probe_watch import ProbeWatch

__all__ = ['CLEAR_SECONDS', 'ContentCrashes', 'Crash']

CLEAR_SECONDS: Final = 1.0
"""Time in which a harmless request that is sent often runs on some target after
many have crashed at once."""
_TURN_INTERVAL: Final = 4.0
"""Time in seconds between the turns of two VMs to probe restricted content."""
_PAUSE_GROWTH: Final = 4
"""Factor by which the pause before the next probe grows with each one whose target
has crashed. Content that is the cause then ends few targets while outages hide it."""
_TURN_SECONDS: Final = 2.5
"""Time in which a VM may send the probe of its turn; shorter than the interval by
what the other VMs need to learn that its target has crashed."""
_MAX_CRASHES: Final = 3
"""Crashes in a row from which content is restricted. One more, in a probe, which
no outage explains, shows that the content is the cause."""
_MAX_CONCURRENT_CRASHES: Final = 2
"""Crashes, none of them known when the others happened, from which content is
restricted."""
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
    watch : ProbeWatch or None
        Latest probe of this VM, until the cause of its crash is decided.
    """

    def __init__(self) -> None:
        self.by_record: dict[CrashRecord, Crash] = {}
        self.watch: ProbeWatch | None = None
        self._next_probe_at = -math.inf

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

    @property
    def is_refused(self) -> bool:
        """Whether the content has crashed the target of a probe as well."""
        return self.count() > _MAX_CRASHES

    def is_restricted(self, now: float) -> bool:
        """Return whether the content may only be sent in probes.

        Crashes that were not in a row count as well if the content has not run
        for some time since: in a large fleet, many VMs send it before they
        learn of the first crash, and no target may be left for another send.
        """
        crashes = self.count()
        if crashes >= _MAX_CRASHES:
            return crashes == _MAX_CRASHES
        # Each crash in a row has a record; the others were concurrent.
        if len(self.by_record) - crashes + 1 < _MAX_CONCURRENT_CRASHES:
            return False
        first_seen_at = min(one.seen_at for one in self.by_record.values())
        return now >= first_seen_at + CLEAR_SECONDS

    def has_turn(self, now: float, position: int, senders: int) -> bool:
        """Return whether a VM may probe restricted content now.

        The VMs take turns, the first one some seconds after the latest crash, as
        the targets of an outage do not all crash at the same moment, and later
        after each probe whose target has crashed. Between two turns none sends a
        probe, so that the next VM has learned of a crash in the one before.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        position : int
            Place of this VM in the order of the turns, from 0.
        senders : int
            Number of VMs that take turns.
        """
        if now < self._next_probe_at or self.seconds_until_turn(now):
            return False
        turn = (now - self._turns_begin_at) // _TURN_INTERVAL
        return turn % senders == position % senders

    def seconds_until_turn(self, now: float) -> float:
        """Return the time until any VM has its turn; 0 while one has it."""
        since_first = now - self._turns_begin_at
        if since_first < 0:
            return -since_first
        in_turn = since_first % _TURN_INTERVAL
        return 0 if in_turn < _TURN_SECONDS else _TURN_INTERVAL - in_turn

    def record_probe(self, now: float) -> None:
        """Record that this VM has used its turn."""
        self._next_probe_at = now + _TURN_INTERVAL

    def add_loss(self, loss: Loss, now: float) -> CrashRecord | None:
        """Add a crash that this VM has observed; return its record if it ends a
        probe.

        It is not added if as many crashes in a row are known. If other shards
        have answered the request, only its crashes of the same shard are in a
        row: it can be harmless there, and the others have another cause. The
        crash of a probe is not in a row either, as an outage may be its cause.
        """
        answered = loss.open_request.answered
        lost = len(loss.open_request.lost_services)
        is_urgent = not answered and lost >= _URGENT_SERVICES
        if is_urgent:
            for known in self.by_record.values():
                known.publish_at = min(known.publish_at, now)
        service = loss.service if answered else None
        crash = Crash(loss.at, loss.next_send_id)
        is_probe = loss.open_request.probe_generation is not None
        if is_probe and (service is None or service in self.services):
            record = CrashRecord(
                loss.content,
                loss.incarnation,
                self.count(),
                loss.service,
                is_probe=True,
            )
            self.by_record[record] = crash
            # Further targets that it has lost, and its repeats, are no probes.
            loss.open_request.probe_generation = None
            return record
        # An outage can end any number of targets one after the other.
        generation = min(self.count(loss.send_id, service) + 1, _MAX_CRASHES)
        if generation <= self.count():
            return None
        if generation == 1 and not is_urgent:
            crash.publish_at = loss.at + _PUBLISH_SECONDS
        record = CrashRecord(
            loss.content, loss.incarnation, generation, loss.service
        )
        self.by_record[record] = crash
        return None

    def refuse(self, probe: CrashRecord) -> None:
        """Refuse the content, as it is the cause of the crash of a probe."""
        known = self.by_record[probe]
        record = replace(probe, generation=_MAX_CRASHES + 1, is_probe=False)
        self.by_record[record] = Crash(known.seen_at, known.next_send_id)

    @property
    def _turns_begin_at(self) -> float:
        latest_crash_at = max(one.seen_at for one in self.by_record.values())
        crashed_probes = sum(one.is_probe for one in self.by_record)
        growth = float(_PAUSE_GROWTH) ** crashed_probes
        return latest_crash_at + _TURN_INTERVAL * growth
