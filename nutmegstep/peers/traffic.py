"""Counts of the messages between entry VMs, to measure their cost."""

from collections import Counter
from dataclasses import dataclass, field

from google.protobuf.message import Message

__all__ = ['Traffic']


@dataclass(slots=True)
class Traffic:
    """Counts of protobuf messages, by gRPC call.

    Parameters
    ----------
    messages_by_call : collections.Counter
        Number of sent and received messages.
    bytes_by_call : collections.Counter
        Size of the messages in bytes, without the framing of gRPC and TLS.
    """

    messages_by_call: Counter[str] = field(default_factory=Counter)
    bytes_by_call: Counter[str] = field(default_factory=Counter)

    def count(self, call: str, message: Message) -> None:
        """Count a message that was sent or received by a call."""
        self.messages_by_call[call] += 1
        self.bytes_by_call[call] += message.ByteSize()
