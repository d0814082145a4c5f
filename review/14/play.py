"""EVAC: requests that wait for a connection reach the servers of a zone long after its evacuation."""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from queued3 import case_of  # noqa: E402
from stand3 import play  # noqa: E402

EVACUATION_S = 5.0  # evacuation_ms


def evacuate(store, server):
    store.put('evacuations', server.zone, {})
    return time.monotonic()


play(HERE, case_of(evacuate, EVACUATION_S, lambda server: f'{server.zone} is evacuated',
                   'idempotent'))
