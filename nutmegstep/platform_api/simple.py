"""Client that raises; for start-up code that cannot go on after a failure."""

from dataclasses import dataclass
from datetime import timedelta

from returns.pipeline import is_successful
from returns.result import Result

from nutmegstep.platform_api.core import ObjectClient
from nutmegstep.platform_api.records import PlatformFailure

__all__ = ['ObjectReply', 'PlatformClient']


@dataclass(frozen=True, slots=True)
class ObjectReply:
    """Entity tag and value of an object."""

    version: str
    document: bytes


class PlatformClient:
    """Same calls as `ObjectClient`, with failures raised.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    timeout : float
        Seconds for a whole call.
    """

    def __init__(self, host: str, port: int, timeout: float = 2) -> None:
        seconds = timedelta(seconds=timeout)
        self._client = ObjectClient(host, port, timeout=seconds)

    async def get(self, name: str) -> ObjectReply:
        """Read an object.

        Raises
        ------
        OSError
            The call failed.
        """
        called = await self._client.get(name)
        _raise_failure(called)
        stored = called.unwrap()
        return ObjectReply(stored.version, stored.document)

    async def put(
        self,
        name: str,
        document: bytes,
        expected_version: str | None = None,
    ) -> ObjectReply:
        """Write an object.

        Raises
        ------
        OSError
            The call failed; the write may have taken effect.
        """
        called = await self._client.put(name, document, expected_version)
        _raise_failure(called)
        return ObjectReply(called.unwrap(), document)


def _raise_failure(called: Result[object, PlatformFailure]) -> None:
    if not is_successful(called):
        raise OSError(called.failure().detail)
