"""Tokens of one account at the VM that takes its requests."""

import math
from collections import deque
from itertools import repeat
from typing import Final

from nutmegstep.accounts.bounds import SLICES

__all__ = ['TokenStock']

_ANSWERED_SECONDS: Final = 5.0
"""Time after which an answer is of no use: its tokens have expired."""
_RATE_SECONDS: Final = 1.0
_MAX_DRY_SECONDS: Final = 1.0
"""Longest time for which an owner that has no token is not asked; callers are told
the time that it stated."""
_AHEAD_SHARE: Final = 0.5
"""Share of the requests expected within the lifetime of a token that are asked for
ahead. Tokens that expire unused are lost to the account."""


class TokenStock:
    """Tokens of an account, and what the owners of its slices said.

    Attributes
    ----------
    waiting : collections.deque of int
        Identifiers of the requests that wait for a token.
    asked_at_by_slice : dict
        Monotonic times in seconds of the questions without an answer.
    """

    def __init__(self) -> None:
        self.waiting: deque[int] = deque()
        self.asked_at_by_slice: dict[int, float] = {}
        self._expiries: deque[float] = deque()
        self._questions: set[tuple[int, float]] = set()
        self._dry_until = [-math.inf for _ in range(SLICES)]
        self._returns_at = [-math.inf for _ in range(SLICES)]
        self._is_exhausted = [False for _ in range(SLICES)]
        self._recent = float(0)
        self._recent_at = -math.inf

    def record_request(self, now: float) -> None:
        """Count a request, for what is asked for ahead."""
        passed = now - self._recent_at
        self._recent = self._recent * math.exp(-passed / _RATE_SECONDS) + 1
        self._recent_at = now

    def ahead(self, lifetime: float) -> int:
        """Return how many tokens to ask for beyond those that are waited for."""
        return int(self._recent / _RATE_SECONDS * lifetime * _AHEAD_SHARE)

    def record_question(self, slice_number: int, now: float) -> None:
        """Record a question, whose answer is accepted once."""
        self.asked_at_by_slice[slice_number] = now
        self._questions = {
            one for one in self._questions if one[1] > now - _ANSWERED_SECONDS
        }
        self._questions.add((slice_number, now))

    def accept(self, slice_number: int, asked_at: float) -> bool:
        """Return whether an answer is the first one to a question."""
        if self.asked_at_by_slice.get(slice_number) == asked_at:
            self.asked_at_by_slice.pop(slice_number)
        question = (slice_number, asked_at)
        is_first = question in self._questions
        self._questions.discard(question)
        return is_first

    def forget_unanswered(self, asked_before: float) -> None:
        """Drop questions that were asked before some time, without a mark."""
        self.asked_at_by_slice = {
            number: asked_at
            for number, asked_at in self.asked_at_by_slice.items()
            if asked_at >= asked_before
        }

    def add(self, tokens: int, expires_at: float) -> None:
        """Store tokens that were handed out to this VM."""
        self._expiries.extend(repeat(expires_at, tokens))

    def take(self, now: float) -> float | None:
        """Use a token; return its time of expiry, or None without one."""
        while self._expiries:
            expires_at = self._expiries.popleft()
            if expires_at > now:
                return expires_at
        return None

    def give_back(self, expires_at: float) -> None:
        """Store the token of a request again that was not served."""
        self._expiries.appendleft(expires_at)

    def mark_dry(
        self, slice_number: int, until: float, now: float, *, is_exhausted: bool
    ) -> None:
        """Ask the owner of a slice no more until some time.

        Parameters
        ----------
        slice_number : int
            The slice.
        until, now : float
            Monotonic times in seconds.
        is_exhausted : bool
            Whether the owner said that it has no token, and one at that time; else
            it did not answer. It is asked again before that, as its share or the
            limit may have grown.
        """
        asked_again_at = now + _MAX_DRY_SECONDS if is_exhausted else until
        self._dry_until[slice_number] = min(until, asked_again_at)
        self._returns_at[slice_number] = until
        self._is_exhausted[slice_number] = is_exhausted

    def clear_silence(self, slice_number: int) -> None:
        """Ask the owner of a slice again, as it has answered after all."""
        if not self._is_exhausted[slice_number]:
            self._dry_until[slice_number] = -math.inf

    def is_dry(self, slice_number: int, now: float) -> bool:
        """Return whether the owner of a slice has no token now."""
        return now < self._dry_until[slice_number]

    def is_exhausted(self, now: float) -> bool:
        """Return whether an owner has said that it has no token now."""
        return any(
            is_exhausted and self.is_dry(number, now)
            for number, is_exhausted in enumerate(self._is_exhausted)
        )

    def returns_at(self) -> float:
        """Return the time at which the first owner has a token again."""
        return min(
            (
                until
                for until, is_exhausted in zip(
                    self._returns_at, self._is_exhausted, strict=True
                )
                if is_exhausted
            ),
            default=-math.inf,
        )
