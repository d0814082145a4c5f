"""The crowd of review/7 and review/9, in a process of its own: it must not slow the servers.

Each client sends one whole POST request. Arguments: address, port, clients, at once, bytes
of a body, whether they leave (1 or 0), file with one line per client: attempt, steady time
at which it left (or -), status (or -).
"""

import array
import asyncio
import fcntl
import os
import pathlib
import sys
import termios

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import stage2 as stage  # noqa: E402

LEAVES_AFTER = 0.05


def unread_bytes(writer):
    """Return the bytes that the other machine has not acknowledged."""
    found = array.array('i', [0])
    fcntl.ioctl(writer.get_extra_info('socket').fileno(), termios.TIOCOUTQ, found)
    return found[0]


async def client(address, port, body, leaves, limit, write):
    attempt = os.urandom(8).hex()
    async with limit:
        try:
            reader, writer = await asyncio.open_connection(address, port)
        except OSError as error:
            write(attempt, '-', type(error).__name__)
            return
        try:
            writer.transport.set_write_buffer_limits(high=0)
            writer.write(stage.encode_request('POST', '/order/1', attempt, 8000, body))
            async with asyncio.timeout(9):
                await writer.drain()
                if leaves:
                    # It leaves only when its whole request has arrived.
                    while unread_bytes(writer):
                        await asyncio.sleep(0.005)
                    await asyncio.sleep(LEAVES_AFTER)
                    writer.transport.abort()
                    await asyncio.sleep(0)
                    write(attempt, stage.now(), '-')
                    return
                first, _, _ = await stage.read_message(reader)
                status = first.split()[1]
        except (OSError, EOFError, TimeoutError) as error:
            status = type(error).__name__
        finally:
            writer.transport.abort()
        write(attempt, '-', status)


async def main():
    address, port, clients, at_once, size, leaves, path = sys.argv[1:]
    limit = asyncio.Semaphore(int(at_once))
    with open(path, 'w', encoding='utf-8') as file:

        def write(*words):
            print(*words, file=file)

        await asyncio.gather(
            *(
                client(address, int(port), b'x' * int(size), leaves == '1', limit, write)
                for _ in range(int(clients))
            )
        )


asyncio.run(main())
