"""Entry point of ``python -m nutmegstep``."""

from nutmegstep.cli.core import main

__all__: list[str] = []

if __name__ == '__main__':
    main()
