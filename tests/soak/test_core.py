"""A short seeded run, and each seed that ever failed."""

from pathlib import Path

import pytest

from tests.soak.core import soak

_SEEDS = (1,)
"""The first seed is the regular one; each further one has failed before."""


@pytest.mark.timeout(180)
@pytest.mark.parametrize('seed', _SEEDS)
async def test_seed_keeps_the_promises(tmp_path: Path, seed: int) -> None:
    """Guards against broken promises while processes and links fail."""
    assert not await soak(seed, seconds=6, directory=tmp_path)


@pytest.mark.timeout(180)
async def test_domain_with_coordinators_keeps_the_promises(
    tmp_path: Path,
) -> None:
    """The same while VMs delegate requests to coordinators, which fail too."""
    assert not await soak(1, seconds=6, directory=tmp_path, vms=10)
