"""Counts of messages and bytes, for the cost per node."""

from collections import Counter
from dataclasses import dataclass, field

from google.protobuf.message import Message

__all__ = ['Traffic']


@dataclass(slots=True)
class Traffic:
    """Protobuf messages and their bytes, without gRPC and TLS framing."""

    messages_by_call: Counter[str] = field(default_factory=Counter)
    bytes_by_call: Counter[str] = field(default_factory=Counter)

    def count(self, call: str, message: Message) -> None:
        """Count one message that was sent or received."""
        self.messages_by_call[call] += 1
        self.bytes_by_call[call] += message.ByteSize()
