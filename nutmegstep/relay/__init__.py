"""Few VMs follow the store and serve what they read to their neighbours."""

from nutmegstep.relay.cache import RelayCache
from nutmegstep.relay.core import RelayChoice, choose_relays
from nutmegstep.relay.reader import RelayReader
from nutmegstep.relay.server import RelayServer
from nutmegstep.relay.switching import SwitchingReader

__all__ = [
    'RelayCache',
    'RelayChoice',
    'RelayReader',
    'RelayServer',
    'SwitchingReader',
    'choose_relays',
]
