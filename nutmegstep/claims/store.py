"""Reads and writes claim journals as objects of the platform."""

from typing import Protocol

from returns.result import Result, Success

from nutmegstep.claims.messages import (
    JournalConflict,
    JournalRead,
    JournalReadFailed,
    JournalWriteUnknown,
    JournalWritten,
)
from nutmegstep.platform_api import (
    PlatformFailure,
    PlatformFailureKind,
    StoredObject,
)

__all__ = ['ObjectStore', 'PlatformJournals']


class ObjectStore(Protocol):
    """Calls of the platform's object API that journals need."""

    async def get(self, name: str) -> Result[StoredObject, PlatformFailure]:
        """Read an object."""

    async def put(
        self,
        name: str,
        document: bytes,
        expected_version: str | None = None,
    ) -> Result[str, PlatformFailure]:
        """Write an object if it has the expected version.

        Without an expected version, create the object if it does not exist.
        """

    async def delete(
        self,
        name: str,
        expected_version: str | None = None,
    ) -> Result[None, PlatformFailure]:
        """Delete an object, with `expected_version` only at that version."""


class PlatformJournals:
    """Reads and writes claim journals.

    Parameters
    ----------
    client : ObjectStore
        Client of the object API.

    Notes
    -----
    Only a reply that states a version conflict shows that a write did not
    take effect. After any other failure the outcome of the write is unknown,
    and the journal must be read again.
    """

    def __init__(self, client: ObjectStore) -> None:
        self._client = client

    async def read(self, name: str) -> JournalRead | JournalReadFailed:
        """Read a journal; an absent one has an empty version."""
        outcome = await self._client.get(name)
        if isinstance(outcome, Success):
            stored = outcome.unwrap()
            return JournalRead(name, stored.version, stored.document)
        if outcome.failure().kind is PlatformFailureKind.NOT_FOUND:
            return JournalRead(name, '', b'')
        return JournalReadFailed(name)

    async def write(
        self,
        name: str,
        expected_version: str,
        document: bytes,
    ) -> JournalWritten | JournalConflict | JournalWriteUnknown:
        """Write a journal if it has the expected version."""
        outcome = await self._client.put(
            name,
            document,
            expected_version or None,
        )
        if isinstance(outcome, Success):
            return JournalWritten(name, outcome.unwrap())
        if outcome.failure().kind is PlatformFailureKind.CONFLICT:
            return JournalConflict(name)
        return JournalWriteUnknown(name)

    async def delete(self, name: str) -> bool:
        """Delete a journal; return False if the deletion is unconfirmed."""
        outcome = await self._client.delete(name)
        if isinstance(outcome, Success):
            return True
        return outcome.failure().kind is PlatformFailureKind.NOT_FOUND
