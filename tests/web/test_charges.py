"""A connection that gives up what it holds, and its account."""

from collections.abc import Callable

from nutmegstep.web.account import MemoryAccount
from nutmegstep.web.charges import CONNECTION_BYTES, ConnectionCharge

_UNREAD = 30_000


class _Transport:
    """Transport with unread bytes; one that is aborted is no longer read."""

    def __init__(self, unread: int) -> None:
        self.unread = unread
        self.closing = False

    def get_write_buffer_size(self) -> int:
        return self.unread

    def is_reading(self) -> bool:
        return not self.closing

    def is_closing(self) -> bool:
        return self.closing


class _Reader:
    held_bytes = 0


class _Peer:
    """Connection of a caller that does not read its answers."""

    def __init__(
        self, account: MemoryAccount, now: Callable[[], float]
    ) -> None:
        self.given_up = 0
        self.transport = _Transport(0)
        self.charge = ConnectionCharge(
            account,
            self.transport,  # type: ignore[arg-type]
            _Reader(),  # type: ignore[arg-type]
            self._give_up,
            now,
        )

    def _give_up(self) -> None:
        # The bytes of an aborted transport are freed in a later turn.
        self.given_up += 1
        self.transport.closing = True


def _start() -> float:
    return 0


def _later() -> float:
    return 1


def _crowd(size: int) -> tuple[MemoryAccount, list[_Peer]]:
    account = MemoryAccount(size * (CONNECTION_BYTES + _UNREAD))
    peers = [_Peer(account, _start) for _ in range(size)]
    for peer in peers:
        assert peer.charge.open()
        peer.transport.unread = _UNREAD
        assert peer.charge.settle()
    return account, peers


def test_each_peer_gives_up_once() -> None:
    """Guards against a process that hangs: peers whose memory is freed in a later
    turn made room again and again, twice as often for each further one.
    """
    account, peers = _crowd(40)
    assert not _Peer(account, _later).charge.open()
    assert max(peer.given_up for peer in peers) == 1


def test_peer_that_reads_its_answer_is_spared() -> None:
    """Guards against answers that are cut although their callers take them."""
    account, peers = _crowd(4)
    for peer in peers:
        peer.transport.unread = 1000
    assert _Peer(account, _later).charge.open()
    assert not any(peer.given_up for peer in peers)
