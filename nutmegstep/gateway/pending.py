"""Requests of callers that are not answered yet."""

import asyncio

from nutmegstep.dispatch.events import RoutedRequest
from nutmegstep.gateway.codec import Delivery

__all__ = ['PendingRequest']


class PendingRequest:
    """A caller's request that is not answered yet, and its timer."""

    def __init__(self, request: RoutedRequest) -> None:
        loop = asyncio.get_running_loop()
        self.request = request
        self.answer: asyncio.Future[Delivery] = loop.create_future()
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = float(0)
