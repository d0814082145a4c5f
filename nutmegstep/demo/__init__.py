"""Demonstration over real sockets."""

__all__: list[str] = []
