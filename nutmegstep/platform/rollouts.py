"""Decodes orders of roll-outs in the platform's store, and encodes their state."""

from collections.abc import Mapping
from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from nutmegstep.rollouts import Outcome, RolloutOrder

__all__ = ['read_rollout', 'write_rollout']

_MAX_SECONDS: Final = 86_400.0
"""Longest time in seconds that an order may give; one day."""

_Name = Annotated[str, Field(min_length=1)]


class _Model(BaseModel):
    model_config = ConfigDict(strict=True, extra='ignore', frozen=True)


class _OrderDocument(_Model):
    service: _Name
    # Version of the software of the targets that the service is moved to.
    target_revision: _Name
    duration_s: float = Field(gt=0, le=_MAX_SECONDS)


class _StatusDocument(_Model):
    state: str
    target_revision: str


class _MetaDocument(_Model):
    rev: int = 0


class _ObjectDocument(_Model):
    spec: _OrderDocument
    meta: _MetaDocument = _MetaDocument()
    # The operators' tools and other writers may have left anything here.
    status: object = None


def read_rollout(name: str, document: object) -> Result[RolloutOrder, str]:
    """Decode an order and the state that the store holds for it.

    Parameters
    ----------
    name : str
        Name of the object, which is that of the service.
    document : object
        Whole object, with its metadata and its status.

    Returns
    -------
    returns.result.Result
        The order, or a message that says why it is invalid.
    """
    try:
        decoded = _ObjectDocument.model_validate(document)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        location = '.'.join(str(step) for step in first['loc'])
        return Failure(f'first error at {location}: {first["msg"]}')
    if decoded.spec.service != name:
        return Failure('names another service than its object')
    return Success(
        RolloutOrder(
            name,
            decoded.spec.target_revision,
            decoded.spec.duration_s,
            decoded.meta.rev,
            _read_outcome(decoded.status, decoded.spec.target_revision),
        )
    )


def write_rollout(outcome: Outcome, version: str) -> Mapping[str, str]:
    """Encode the state of a roll-out."""
    return {'state': outcome.value, 'target_revision': version}


def _read_outcome(document: object, version: str) -> Outcome | None:
    """Return the state for a version; None if it is for another one."""
    try:
        status = _StatusDocument.model_validate(document)
        outcome = Outcome(status.state)
    except ValueError:
        return None
    return outcome if status.target_revision == version else None
