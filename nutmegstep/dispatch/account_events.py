"""Messages of other VMs about the limits of accounts, as events."""

from dataclasses import dataclass

__all__ = [
    'AccountEvent',
    'ShareLent',
    'SharePolled',
    'TokensAsked',
    'TokensGranted',
]


@dataclass(frozen=True, slots=True)
class SharePolled:
    """A VM asks for the share of this one in a slice of all limits.

    Parameters
    ----------
    vm : str
        Name of the VM that asks.
    slice_number : int
        The slice.
    polled_at : float
        Monotonic time of the poll at that VM in seconds, which the answer
        repeats.
    seconds : float
        Time for which it asks for the share.
    """

    vm: str
    slice_number: int
    polled_at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class ShareLent:
    """A VM has lent its share to this one.

    Parameters
    ----------
    vm : str
        Name of the VM that lends.
    slice_number : int
        The slice.
    polled_at : float
        Monotonic time in seconds of the poll of this VM that it answers.
    seconds : float
        Time for which the share is lent, from the poll on.
    share : float
        Share of the slice, above 0 and at most 1.
    """

    vm: str
    slice_number: int
    polled_at: float
    seconds: float
    share: float


@dataclass(frozen=True, slots=True)
class TokensAsked:
    """A VM asks for tokens of an account.

    Parameters
    ----------
    vm : str
        Name of the VM that asks.
    account : str
        Name of the account.
    slice_number : int
        Slice that this VM is said to own.
    wanted : int
        Number of tokens.
    asked_at : float
        Monotonic time of the question at that VM in seconds, which the answer
        repeats.
    """

    vm: str
    account: str
    slice_number: int
    wanted: int
    asked_at: float


@dataclass(frozen=True, slots=True)
class TokensGranted:
    """An owner has answered a question of this VM.

    Parameters
    ----------
    vm : str
        Name of the owner.
    account : str
        Name of the account.
    slice_number : int
        The slice.
    tokens : int
        Number of tokens.
    wait : float or None
        Time in seconds until it has another token; None if it does not own the
        slice.
    asked_at : float
        Monotonic time of the question at this VM in seconds.
    """

    vm: str
    account: str
    slice_number: int
    tokens: int
    wait: float | None
    asked_at: float


AccountEvent = SharePolled | ShareLent | TokensAsked | TokensGranted
