"""Entry point of ``python -m nutmegstep.platform``."""

import sys

from nutmegstep.platform.core import main

__all__: list[str] = []

if __name__ == '__main__':
    sys.exit(main())
