"""Promises that are checked from what callers and targets see."""

from collections import Counter
from dataclasses import dataclass, field
from itertools import chain

from tests.platform.deployment import Reply
from tests.platform.standin import TargetStandIn

_ATTEMPTS = 2
"""Targets of a service that one attempt of a caller may be sent to."""
_PROMISE_NOT_RUN = frozenset((408, 421, 429, 503))


@dataclass
class Attempt:
    """One attempt of a caller."""

    caller_id: str
    path: str
    asked: float
    reply: Reply | None = None


@dataclass
class Findings:
    """Attempts, and what broke a promise."""

    attempts: list[Attempt] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def check_reply(self, attempt: Attempt) -> None:
        """Check an answer against its request as soon as it is there."""
        reply = attempt.reply
        if reply is None or reply.status != 200:
            return
        names = ('x-nutmegstep-part-stamps', 'x-nutmegstep-server-stamp')
        stamps = list(
            chain.from_iterable(
                reply.headers.get(name, '').split(', ') for name in names
            ),
        )
        signed = [stamp for stamp in stamps if stamp]
        if not signed or len(reply.body) != 16 * len(signed):
            self.broken.append(f'{attempt}: not the whole answer')
        if any(one.rpartition('.')[2] != attempt.caller_id for one in signed):
            self.broken.append(f'{attempt}: answer of another request')

    def check_runs(self, targets: dict[str, TargetStandIn]) -> None:
        """Check at the end what targets have run."""
        runs = Counter(
            seen.headers.get('x-nutmegstep-attempt-id', '')
            for target in targets.values()
            for seen in target.seen
            if seen.was_run
        )
        self._check_sends(targets)
        known = {attempt.caller_id for attempt in self.attempts}
        for caller_id in runs:
            if caller_id not in known:
                self.broken.append(f'{caller_id} ran and was never asked')
        for attempt in self.attempts:
            if not attempt.path.startswith('/order/'):
                continue
            count = runs[attempt.caller_id]
            if count > 1:
                self.broken.append(f'{attempt}: ran {count} times')
            status = attempt.reply.status if attempt.reply else 0
            if status in _PROMISE_NOT_RUN and count:
                self.broken.append(f'{attempt}: refused and ran')

    def served_share(self, since: float) -> float:
        """Return the share of the attempts since an instant that succeeded."""
        late = [one for one in self.attempts if one.asked >= since]
        served = [one for one in late if one.reply and one.reply.status == 200]
        return len(served) / max(1, len(late))

    def _check_sends(self, targets: dict[str, TargetStandIn]) -> None:
        sends = Counter(
            (
                seen.headers.get('x-nutmegstep-attempt-id', ''),
                name.split('|')[1],
            )
            for name, target in targets.items()
            for seen in target.seen
            if seen.was_run
        )
        for (caller_id, service), count in sends.items():
            if count > _ATTEMPTS:
                self.broken.append(
                    f'{caller_id} was sent {count} times to {service}'
                )
