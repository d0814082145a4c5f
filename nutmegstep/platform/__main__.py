"""Entry point of ``python -m nutmegstep.platform``."""

import signal
import sys

__all__: list[str] = []


def _run() -> int:
    # The imports take some 0.3 s, in which SIGHUP would end the process. The
    # settings are read after them, so that a request to read them is met.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from nutmegstep.platform.core import main

    return main()


if __name__ == '__main__':
    sys.exit(_run())
