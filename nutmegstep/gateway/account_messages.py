"""Decodes the messages between VMs about the limits of accounts."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Annotated, Any, Final, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from nutmegstep.accounts.bounds import SLICES
from nutmegstep.dispatch.account_events import (
    ShareLent,
    SharePolled,
    TokensAsked,
    TokensGranted,
)
from nutmegstep.dispatch.events import Event

__all__ = ['READ_BY_KIND']

_MAX_LOAN_SECONDS: Final = 600
_MAX_TOKENS: Final = 100_000

_Slice = Annotated[int, Field(ge=0, lt=SLICES)]
_Time = Annotated[float, Field(allow_inf_nan=False)]
_Seconds = Annotated[
    float, Field(gt=0, le=_MAX_LOAN_SECONDS, allow_inf_nan=False)
]


class _Message(BaseModel):
    model_config = ConfigDict(strict=True, extra='ignore', frozen=True)

    slice: _Slice


class _SharePolled(_Message):
    polled_at: _Time
    seconds: _Seconds


class _ShareLent(_SharePolled):
    share: float = Field(gt=0, le=1)


class _TokensAsked(_Message):
    account: str
    wanted: int = Field(ge=1, le=_MAX_TOKENS)
    asked_at: _Time


class _TokensGranted(_Message):
    account: str
    tokens: int = Field(ge=0, le=_MAX_TOKENS)
    wait: float | None = Field(ge=0)
    asked_at: _Time


_Model = TypeVar('_Model', bound=_Message)


def _reader(
    model: type[_Model], build: Callable[[str, _Model], Event]
) -> Callable[[str, Any], Event | None]:
    def read(vm: str, content: Any) -> Event | None:
        try:
            return build(vm, model.model_validate(content))
        except ValidationError:
            return None

    return read


def _build_poll(vm: str, message: _SharePolled) -> Event:
    return SharePolled(vm, message.slice, message.polled_at, message.seconds)


def _build_loan(vm: str, message: _ShareLent) -> Event:
    return ShareLent(
        vm, message.slice, message.polled_at, message.seconds, message.share
    )


def _build_ask(vm: str, message: _TokensAsked) -> Event:
    return TokensAsked(
        vm, message.account, message.slice, message.wanted, message.asked_at
    )


def _build_grant(vm: str, message: _TokensGranted) -> Event:
    return TokensGranted(
        vm,
        message.account,
        message.slice,
        message.tokens,
        message.wait,
        message.asked_at,
    )


READ_BY_KIND: Final[Mapping[str, Callable[[str, Any], Event | None]]] = (
    MappingProxyType(
        {
            'share_polled': _reader(_SharePolled, _build_poll),
            'share_lent': _reader(_ShareLent, _build_loan),
            'tokens_asked': _reader(_TokensAsked, _build_ask),
            'tokens_granted': _reader(_TokensGranted, _build_grant),
        }
    )
)
"""Decoders by the kind of message."""
