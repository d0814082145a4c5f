"""Plans and writes the publication of a configuration."""

from dataclasses import dataclass, replace
from typing import Final

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from nutmegstep.cli.exit_codes import CommandFailure, ExitCode
from nutmegstep.declarations import (
    Change,
    PublishedConfiguration,
    decode_published,
    diff_fleets,
    encode_published,
    fleet_digest,
)
from nutmegstep.model import Fleet
from nutmegstep.platform_api import (
    ObjectClient,
    PlatformFailure,
    PlatformFailureKind,
)

__all__ = [
    'FLEET_OBJECT',
    'Plan',
    'StoredConfiguration',
    'commit_plan',
    'make_plan',
    'read_stored',
]

FLEET_OBJECT: Final = 'config/fleet'
_MAX_WRITES: Final = 3
_EMPTY_CONFIGURATION: Final = PublishedConfiguration(
    0, '', '', Fleet(0, {}, {}, 0, {})
)
_NOT_FOUND: Final = PlatformFailureKind.NOT_FOUND


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The configuration that is stored at the platform.

    Its entity tag `version` is None if none is stored.
    """

    version: str | None
    published: PublishedConfiguration


@dataclass(frozen=True, slots=True)
class Plan:
    """A publication that is not written yet.

    Parameters
    ----------
    base : StoredConfiguration
        Stored configuration that is replaced.
    fleet : Fleet
        The configuration with its new generation.
    operator : str
        Name of the operator who publishes.
    """

    base: StoredConfiguration
    fleet: Fleet
    operator: str

    @property
    def changes(self) -> tuple[Change, ...]:
        """Differences between the stored configuration and the new one."""
        return diff_fleets(self.base.published.fleet, self.fleet)

    @property
    def unchanged(self) -> bool:
        """Whether the stored configuration makes the write unnecessary."""
        return self.is_satisfied_by(self.base)

    def is_satisfied_by(self, stored: StoredConfiguration) -> bool:
        """Return whether `stored` has the same content and generation.

        A higher generation of the same content counts too.
        """
        return (
            stored.published.digest == fleet_digest(self.fleet)
            and stored.published.generation >= self.fleet.generation
        )


async def read_stored(
    client: ObjectClient,
) -> Result[StoredConfiguration, CommandFailure]:
    """Read the configuration from the platform."""
    called = await client.get(FLEET_OBJECT)
    if not is_successful(called):
        failure = called.failure()
        if failure.kind is _NOT_FOUND:
            return Success(StoredConfiguration(None, _EMPTY_CONFIGURATION))
        return Failure(_unavailable(failure))
    stored = called.unwrap()
    try:
        published = decode_published(stored.document)
    except ValueError as error:
        detail = f'stored {FLEET_OBJECT} is malformed: {error}'
        return Failure(CommandFailure(ExitCode.INVALID, detail))
    return Success(StoredConfiguration(stored.version, published))


def make_plan(
    base: StoredConfiguration,
    fleet: Fleet,
    operator: str,
    highest_generation: int,
    above: int = 0,
) -> Plan:
    """Plan a publication and choose its generation.

    The generation exceeds all known ones; it stays as it is if the same
    content is stored already with a generation that suffices.

    Parameters
    ----------
    base : StoredConfiguration
        Stored configuration.
    fleet : Fleet
        Configuration to publish.
    operator : str
        Name of the operator who publishes.
    highest_generation : int
        Highest generation that entry VMs report. It is above the stored one
        if the platform was restored to an older state; VMs ignore a
        publication that does not exceed it.
    above : int
        Generation that the new one has to exceed even if the content is
        unchanged. This ends a conflict, in which two configurations have the
        same generation.
    """
    stored = base.published.generation
    same = base.published.digest == fleet_digest(fleet)
    if same and stored >= highest_generation and stored > above:
        generation = stored
    else:
        generation = max(stored, highest_generation, above) + 1
    return Plan(base, replace(fleet, generation=generation), operator)


async def commit_plan(
    client: ObjectClient,
    plan: Plan,
) -> Result[StoredConfiguration, CommandFailure]:
    """Write a planned publication unless the stored value has changed.

    Notes
    -----
    If the reply to the write is lost, the value is read back. If its version
    is unchanged, the write has not been applied yet and is sent again with
    the same expected version. At most one of the two writes can be applied.
    """
    encoded = encode_published(plan.fleet, plan.operator)
    if not is_successful(encoded):
        detail = f'configuration has {encoded.failure()} bytes compressed'
        return Failure(CommandFailure(ExitCode.TOO_LARGE, detail))
    for _ in range(_MAX_WRITES):
        written = await client.put(
            FLEET_OBJECT,
            encoded.unwrap(),
            plan.base.version,
        )
        if is_successful(written):
            published = PublishedConfiguration(
                plan.fleet.generation,
                fleet_digest(plan.fleet),
                plan.operator,
                plan.fleet,
            )
            return Success(StoredConfiguration(written.unwrap(), published))
        failure = written.failure()
        is_conflict = failure.kind is PlatformFailureKind.CONFLICT
        if not (failure.may_have_applied or is_conflict):
            return Failure(_unavailable(failure))
        decided = await _read_back(client, plan)
        if decided is not None:
            return decided
    detail = 'no reply to any write; the publication may still take effect'
    return Failure(CommandFailure(ExitCode.UNCERTAIN, detail))


async def _read_back(
    client: ObjectClient,
    plan: Plan,
) -> Result[StoredConfiguration, CommandFailure] | None:
    read = await read_stored(client)
    if not is_successful(read):
        detail = f'written, but reading back failed: {read.failure().detail}'
        return Failure(CommandFailure(ExitCode.UNCERTAIN, detail))
    stored = read.unwrap()
    if plan.is_satisfied_by(stored):
        return Success(stored)
    if stored.version == plan.base.version:
        return None
    return Failure(_conflict(plan, stored.published))


def _conflict(plan: Plan, other: PublishedConfiguration) -> CommandFailure:
    changes = diff_fleets(plan.base.published.fleet, other.fleet)
    listed = '; '.join(str(change) for change in changes) or 'no difference'
    detail = (
        f'{other.published_by} published generation {other.generation} '
        f'meanwhile: {listed}'
    )
    return CommandFailure(ExitCode.CONFLICT, detail)


def _unavailable(failure: PlatformFailure) -> CommandFailure:
    return CommandFailure(ExitCode.UNAVAILABLE, failure.detail)
