"""Calls entry VMs one after another until one replies."""

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from nutmegstep.cli.exit_codes import CommandFailure, ExitCode
from nutmegstep.cli.operators import PeerFailure

__all__ = ['call_in_turn']

_Answer = TypeVar('_Answer')


async def call_in_turn(
    addresses: Sequence[str],
    call: Callable[[str], Awaitable[Result[_Answer, PeerFailure]]],
) -> Result[_Answer, CommandFailure]:
    """Return the first reply, or a failure that lists all failed calls.

    Parameters
    ----------
    addresses : sequence of str
        Addresses of entry VMs, ``HOST:PORT``, in the order in which to call
        them.
    call : Callable
        Calls the entry VM at an address.
    """
    details = []
    code = ExitCode.UNAVAILABLE
    for address in addresses:
        called = await call(address)
        if is_successful(called):
            return Success(called.unwrap())
        failure = called.failure()
        details.append(f'{address}: {failure.detail}')
        code = ExitCode.UNCERTAIN if failure.may_have_applied else code
    return Failure(CommandFailure(code, '; '.join(details)))
