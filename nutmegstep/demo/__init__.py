"""Demonstration with entry processes and stand-ins on loopback sockets."""

__all__: list[str] = []
