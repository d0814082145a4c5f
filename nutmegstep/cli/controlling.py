"""Changes withdrawals and drains in the object `control/state`."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from nutmegstep.cli.exit_codes import CommandFailure, ExitCode
from nutmegstep.cli.generations import known_control
from nutmegstep.cli.operators import OperatorInterface
from nutmegstep.declarations import (
    ControlChange,
    ControlDocument,
    ControlSubject,
    Register,
    apply_change,
    decode_control,
    encode_control,
    merge_control,
)
from nutmegstep.platform_api import ObjectClient, PlatformFailureKind

__all__ = [
    'CONTROL_OBJECT',
    'AppliedChange',
    'change_at_peers',
    'change_control',
]

CONTROL_OBJECT: Final = 'control/state'
# Operators rarely change withdrawals at the same time, and relay VMs write
# only after an outage. Five conflicts in a row point to another fault.
_MAX_WRITES: Final = 5
_UNSET: Final = Register(0, withdrawn=False)


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """A change that was applied.

    Parameters
    ----------
    through : str
        ``platform``, or the address of the entry VM that accepted it.
    already : bool
        Whether it was in force before, so that nothing was written.
    """

    through: str
    already: bool = False


@dataclass(frozen=True, slots=True)
class _StoredControl:
    version: str | None
    document: ControlDocument


async def change_control(
    client: ObjectClient,
    interface: OperatorInterface,
    entries: Sequence[str],
    change: ControlChange,
) -> Result[AppliedChange, CommandFailure]:
    """Apply a change at the platform, or through an entry VM.

    An entry VM is used if the platform is unavailable, or if it is unknown
    whether a write to the platform took effect.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform.
    interface : OperatorInterface
        Interface to the entry VMs.
    entries : sequence of str
        Addresses of entry VMs, ``HOST:PORT``, in the order in which to call
        them.
    change : ControlChange
        The change to apply.

    Returns
    -------
    returns.result.Result
        How it was applied, or a failure. The failure is `CONFLICT` if
        another operator set the same name to the opposite state since the
        command started.
    """
    stored = await _change_at_platform(client, interface, entries, change)
    if is_successful(stored):
        return stored
    failure = stored.failure()
    if failure.code not in {ExitCode.UNAVAILABLE, ExitCode.UNCERTAIN}:
        return stored
    return await change_at_peers(interface, entries, change, failure)


async def _change_at_platform(
    client: ObjectClient,
    interface: OperatorInterface,
    entries: Sequence[str],
    change: ControlChange,
) -> Result[AppliedChange, CommandFailure]:
    read = await _read(client)
    if not is_successful(read):
        return Failure(read.failure())
    known_to_vms = await known_control(client, interface, entries)
    initial = _register(
        merge_control(read.unwrap().document, known_to_vms), change
    )
    return await _write_until_decided(client, change, known_to_vms, initial)


async def _write_until_decided(
    client: ObjectClient,
    change: ControlChange,
    known_to_vms: ControlDocument,
    initial: Register,
) -> Result[AppliedChange, CommandFailure]:
    code = ExitCode.UNAVAILABLE
    for _ in range(_MAX_WRITES):
        read = await _read(client)
        if not is_successful(read):
            return Failure(_with_uncertainty(read.failure(), code))
        stored = read.unwrap()
        merged = _StoredControl(
            stored.version, merge_control(stored.document, known_to_vms)
        )
        decided = _decide(stored.document, merged.document, change, initial)
        if decided is not None:
            return decided
        written = await _write(client, merged, change)
        if is_successful(written):
            return written
        failure = written.failure()
        if failure.code is ExitCode.UNAVAILABLE:
            return Failure(_with_uncertainty(failure, code))
        if failure.code is ExitCode.UNCERTAIN:
            code = ExitCode.UNCERTAIN
    detail = f'{_MAX_WRITES} writes of {CONTROL_OBJECT} were not accepted'
    return Failure(CommandFailure(code, detail))


def _decide(
    stored: ControlDocument,
    merged: ControlDocument,
    change: ControlChange,
    initial: Register,
) -> Result[AppliedChange, CommandFailure] | None:
    """Return the outcome, or None if a write is needed."""
    current = _register(merged, change)
    if current.withdrawn != change.withdrawn:
        if current.counter > initial.counter:
            return Failure(_conflict(change, current))
        return None
    # The stored register is older than that of entry VMs: write theirs.
    if current != _register(stored, change):
        return None
    already = current.counter == initial.counter
    return Success(AppliedChange('platform', already))


async def _write(
    client: ObjectClient,
    stored: _StoredControl,
    change: ControlChange,
) -> Result[AppliedChange, CommandFailure]:
    value = encode_control(apply_change(stored.document, change))
    written = await client.put(CONTROL_OBJECT, value, stored.version)
    if is_successful(written):
        return Success(AppliedChange('platform'))
    failure = written.failure()
    code = ExitCode.UNAVAILABLE
    if failure.may_have_applied:
        code = ExitCode.UNCERTAIN
    elif failure.kind is PlatformFailureKind.CONFLICT:
        code = ExitCode.CONFLICT
    return Failure(CommandFailure(code, failure.detail))


def _with_uncertainty(
    failure: CommandFailure, code: ExitCode
) -> CommandFailure:
    """Return a failure whose code allows for earlier writes.

    `code` is `UNCERTAIN` if an earlier write may have taken effect.
    """
    if failure.code is ExitCode.UNAVAILABLE:
        return CommandFailure(code, failure.detail)
    return failure


async def _read(client: ObjectClient) -> Result[_StoredControl, CommandFailure]:
    called = await client.get(CONTROL_OBJECT)
    if not is_successful(called):
        failure = called.failure()
        if failure.kind is PlatformFailureKind.NOT_FOUND:
            return Success(_StoredControl(None, ControlDocument()))
        return Failure(CommandFailure(ExitCode.UNAVAILABLE, failure.detail))
    stored = called.unwrap()
    try:
        document = decode_control(stored.document)
    except ValueError as error:
        detail = f'stored {CONTROL_OBJECT} is malformed: {error}'
        return Failure(CommandFailure(ExitCode.INVALID, detail))
    return Success(_StoredControl(stored.version, document))


async def change_at_peers(
    interface: OperatorInterface,
    entries: Sequence[str],
    change: ControlChange,
    failure: CommandFailure,
) -> Result[AppliedChange, CommandFailure]:
    """Apply a change through the first entry VM that accepts it.

    Parameters
    ----------
    interface : OperatorInterface
        Interface to the entry VMs.
    entries : sequence of str
        Addresses of entry VMs, ``HOST:PORT``, in the order in which to call
        them.
    change : ControlChange
        The change to apply.
    failure : CommandFailure
        Failure of the attempt to apply it at the platform.
    """
    code = failure.code
    details = [f'platform: {failure.detail}']
    for address in entries:
        applied = await interface.apply_through_peer(address, change)
        if is_successful(applied):
            return Success(AppliedChange(address))
        refused = applied.failure()
        code = ExitCode.UNCERTAIN if refused.may_have_applied else code
        details.append(f'{address}: {refused.detail}')
    if not entries:
        details.append('no entry VM is known, see --entry')
    return Failure(CommandFailure(code, '; '.join(details)))


def _register(document: ControlDocument, change: ControlChange) -> Register:
    if change.subject is ControlSubject.TARGET:
        return document.targets_by_name.get(change.name, _UNSET)
    return document.failure_domains_by_name.get(change.name, _UNSET)


def _conflict(change: ControlChange, current: Register) -> CommandFailure:
    state = 'out of service' if current.withdrawn else 'in service'
    detail = f'{current.changed_by} set {change.name} {state} meanwhile'
    return CommandFailure(ExitCode.CONFLICT, detail)
