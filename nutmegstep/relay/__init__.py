"""Relays: a few VMs watch the store and serve its objects to neighbours.

A neighbour is another VM of the same failure domain. Calls to the store are
charged for, and relays save most of them.
"""

from nutmegstep.relay.cache import RelayCache
from nutmegstep.relay.core import RelayChoice, choose_relays
from nutmegstep.relay.fallback import FallbackReader
from nutmegstep.relay.reader import RelayReader, connect_relay
from nutmegstep.relay.server import RelayServer

__all__ = [
    'FallbackReader',
    'RelayCache',
    'RelayChoice',
    'RelayReader',
    'RelayServer',
    'choose_relays',
    'connect_relay',
]
