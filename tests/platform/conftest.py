"""Deployments of gateway processes beside stand-ins."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.platform.deployment import Deployment


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[Deployment]:
    """Return a deployment without gateways."""
    made = Deployment(tmp_path)
    await made.start()
    yield made
    await made.stop()
