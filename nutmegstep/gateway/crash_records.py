"""Checks targets that may have crashed, and keeps crash records in the store."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from returns.pipeline import is_successful

from nutmegstep.dispatch.control_events import CrashRecord, TargetChecked
from nutmegstep.dispatch.effects import CheckTarget, DeleteCrash, PublishCrash
from nutmegstep.dispatch.events import Event
from nutmegstep.gateway.adapter import Store
from nutmegstep.store_watch import StoreAvailability

__all__ = ['CrashReporter', 'read_record', 'write_record']

_LOG: Final = logging.getLogger(__name__)
_CHECK_TIMEOUT_S: Final = 0.25
"""Longest time for opening a connection to a target that may have crashed."""
_RETRY_DELAY_S: Final = 0.5
"""Time after a failed write before it is tried again."""
_SEPARATOR: Final = '.'
_FIELD_SEPARATOR: Final = '~'
_PROBE_MARK: Final = '~probe'


class CrashReporter:
    """Carries out the effects that concern crashes of targets.

    Parameters
    ----------
    dispatch : Callable
        Passes an event to the dispatcher.

    Attributes
    ----------
    handler_by_effect : Mapping
        Functions that carry out the effects.
    """

    def __init__(self, dispatch: Callable[[Event], None]) -> None:
        self.handler_by_effect: Mapping[type, Callable[[Any], None]] = (
            MappingProxyType(
                {
                    CheckTarget: self._check,
                    PublishCrash: lambda one: self._write(one.record, True),
                    DeleteCrash: lambda one: self._write(one.record, False),
                }
            )
        )
        self._dispatch = dispatch
        self._checks: set[asyncio.Task[None]] = set()
        self._is_kept_by_record: dict[CrashRecord, bool] = {}
        self._has_writes = asyncio.Event()

    async def run(
        self, store: Store, kind: str, availability: StoreAvailability
    ) -> None:
        """Write the records to the store until cancelled.

        Parameters
        ----------
        store : Store
            Client of the store.
        kind : str
            Kind of the records in the store.
        availability : StoreAvailability
            No call is made while the store does not answer.
        """
        while True:
            await self._has_writes.wait()
            await availability.available.wait()
            record, is_kept = next(iter(self._is_kept_by_record.items()))
            name = write_record(record)
            call = store.put_object if is_kept else store.delete_object
            called = await call(kind, name)
            if not is_successful(called):
                fields = {'record': name, 'detail': called.failure().detail}
                _LOG.warning('crash record not written', extra=fields)
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            if self._is_kept_by_record.get(record) is is_kept:
                self._is_kept_by_record.pop(record)
            if not self._is_kept_by_record:
                self._has_writes.clear()

    def close(self) -> None:
        """End all checks."""
        for check in tuple(self._checks):
            check.cancel()

    def _write(self, record: CrashRecord, is_kept: bool) -> None:
        self._is_kept_by_record[record] = is_kept
        self._has_writes.set()

    def _check(self, effect: CheckTarget) -> None:
        check = asyncio.get_running_loop().create_task(
            self._check_listening(effect)
        )
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check_listening(self, effect: CheckTarget) -> None:
        target = effect.target
        loop = asyncio.get_running_loop()
        is_listening = True
        try:
            async with asyncio.timeout(_CHECK_TIMEOUT_S):
                transport, _ = await loop.create_connection(
                    asyncio.Protocol, target.host, target.port
                )
        except ConnectionRefusedError:
            is_listening = False
        except (OSError, TimeoutError):
            # A target that cannot be reached need not have crashed.
            return
        else:
            transport.abort()
        self._dispatch(TargetChecked(target.target_id, is_listening))


def write_record(record: CrashRecord) -> str:
    """Encode a record as the name of an object in the store.

    Older releases take all that follows the content, or the mark of a probe, for a
    part of the incarnation.
    """
    detail = record.incarnation
    if record.generation:
        detail = _FIELD_SEPARATOR.join(
            (str(record.generation), record.service, record.incarnation)
        )
    if record.is_probe:
        detail = f'{detail}{_PROBE_MARK}'
    return f'{record.content}{_SEPARATOR}{detail}'


def read_record(name: str) -> CrashRecord | None:
    """Decode the name of a record in the store; None if it cannot be read."""
    content, _, detail = name.partition(_SEPARATOR)
    if not content or not detail:
        _LOG.warning('crash record cannot be read', extra={'record': name})
        return None
    is_probe = detail.endswith(_PROBE_MARK)
    fields = detail.removesuffix(_PROBE_MARK).split(_FIELD_SEPARATOR, 2)
    if len(fields) == 3 and fields[0].isdecimal():
        generation, service, incarnation = fields
        return CrashRecord(
            content, incarnation, int(generation), service, is_probe
        )
    return CrashRecord(content, detail)
