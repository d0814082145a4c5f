"""Tests of journals at the platform stand-in, over TCP connections."""

from collections.abc import AsyncIterator

import pytest

from nutmegstep.claims.messages import (
    JournalConflict,
    JournalRead,
    JournalReadFailed,
    JournalWriteUnknown,
    JournalWritten,
)
from nutmegstep.claims.store import PlatformJournals
from nutmegstep.platform_api import ObjectClient
from nutmegstep.standins.platform import Outage, PlatformStandIn
from nutmegstep.web import serve_http

_NAME = 'claims/1/2'


@pytest.fixture
async def platform() -> AsyncIterator[tuple[PlatformStandIn, PlatformJournals]]:
    """Serve a platform stand-in on a free port."""
    standin = PlatformStandIn()
    server = await serve_http(standin.handle, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = ObjectClient('127.0.0.1', port)
    yield standin, PlatformJournals(client)
    client.close()
    server.close()


async def test_absent_journal_is_created_once(
    platform: tuple[PlatformStandIn, PlatformJournals],
) -> None:
    """Guards against two VMs that both create a journal and lose claims."""
    _, journals = platform
    assert await journals.read(_NAME) == JournalRead(_NAME, '', b'')
    written = await journals.write(_NAME, '', b'a')
    assert isinstance(written, JournalWritten)
    assert await journals.write(_NAME, '', b'b') == JournalConflict(_NAME)
    read = await journals.read(_NAME)
    assert read == JournalRead(_NAME, written.version, b'a')


async def test_lost_answer_is_unknown_and_can_be_read_back(
    platform: tuple[PlatformStandIn, PlatformJournals],
) -> None:
    """Guards against treating a write that took effect as failed.

    The platform stores the journal, but its reply is lost.
    """
    standin, journals = platform
    standin.faults.lose_answers = 1
    written = await journals.write(_NAME, '', b'a')
    assert written == JournalWriteUnknown(_NAME)
    read = await journals.read(_NAME)
    assert isinstance(read, JournalRead)
    assert read.document == b'a'


async def test_outage_is_not_an_absent_journal(
    platform: tuple[PlatformStandIn, PlatformJournals],
) -> None:
    """Guards against a second claim of a key during a platform outage.

    A read that fails must not look like a journal without claims.
    """
    standin, journals = platform
    standin.faults.outage = Outage.ERRORS
    assert await journals.read(_NAME) == JournalReadFailed(_NAME)
