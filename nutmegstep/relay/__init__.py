"""Few VMs follow the store and serve what they read to their neighbours."""

from nutmegstep.relay.cache import RelayCache
from nutmegstep.relay.core import RelayChoice, choose_relays
from nutmegstep.relay.fallback import FallbackReader
from nutmegstep.relay.reader import RelayReader
from nutmegstep.relay.server import RelayServer

__all__ = [
    'FallbackReader',
    'RelayCache',
    'RelayChoice',
    'RelayReader',
    'RelayServer',
    'choose_relays',
]
