"""Query tier that scatters requests over shards and gathers one answer."""

__all__ = ['__version__']

__version__ = '0.1.0'
