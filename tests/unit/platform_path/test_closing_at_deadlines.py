"""Runs end at their engine soon after the caller's deadline or the caller's leaving."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest
from relay_rig import HOST, KEY, RelayRig, registration

# A turn of the event loop of an overloaded process takes about 0.2 s, and a run may go
# on for 0.5 s after its caller's deadline. Turns are counted instead of seconds, and a
# turn is the one in which the event is noticed.
TURN_S = 0.1
MAX_TURNS = 2
LIMIT_MS = 1500


class FakeEngine:
    """Engine in a thread of its own that notes when its connection ends.

    It sends ``answer`` and then nothing, so that only the entry ends the connection.
    """

    def __init__(self, answer: bytes = b""):
        self.answer = answer
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.received = threading.Event()
        self.ended = threading.Event()
        self.ended_at = 0.0
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        with contextlib.suppress(OSError):
            connection, _ = self.listener.accept()
            connection.settimeout(10.0)
            if connection.recv(65_536):
                self.received.set()
            sending = threading.Thread(
                target=self.send, args=(connection,), daemon=True
            )
            sending.start()
            with contextlib.suppress(ConnectionError):
                while connection.recv(65_536):
                    continue
            self.ended_at = time.monotonic()
            self.ended.set()
            connection.close()

    def send(self, connection):
        with contextlib.suppress(OSError):
            connection.sendall(self.answer)

    def close(self):
        self.listener.close()


def request(target="/quote/a"):
    return (
        f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
        f"Attempt-Id: a-1\r\nDeadline-Ms: {LIMIT_MS}\r\nToken-Usage: 100,30\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


async def until(event, seconds):
    deadline = time.monotonic() + seconds
    while not event.is_set():
        assert time.monotonic() < deadline, "not reached in time"
        await asyncio.sleep(0.01)


class SlowTurns:
    """Lets each turn of the event loop take long, and notes when it began."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.began_at = []
        self.stopped = False
        self.loop.call_soon(self.hold)

    def hold(self):
        self.began_at.append(time.monotonic())
        time.sleep(TURN_S)
        if not self.stopped:
            self.loop.call_soon(self.hold)

    def count(self, start, end):
        return sum(1 for at in self.began_at if start <= at <= end)


@pytest.mark.parametrize("reason", ["deadline", "caller"])
async def test_a_run_ends_soon_in_an_overloaded_entry(reason):
    """Guards against runs that go on while an entry with little processor time acts.

    Each of the steps from the deadline, or from the caller's leaving, to the close of
    the connection took a turn of the event loop of its own.
    """
    engine = FakeEngine()
    async with RelayRig() as rig:
        rig.closers.append(engine.close)
        rig.row("servers", "i-1", registration("engine", engine.address))
        host, _, port = rig.address.rpartition(":")
        caller = socket.create_connection((host, int(port)))
        began = time.monotonic()
        caller.sendall(request())
        await until(engine.received, 2.0)
        turns = SlowTurns()
        await asyncio.sleep(3 * TURN_S)
        if reason == "caller":
            caller.close()
            due_at = time.monotonic()
        else:
            # The entry counts from the arrival of the request.
            due_at = began + LIMIT_MS / 1000
        try:
            await until(engine.ended, 8.0)
        finally:
            turns.stopped = True
            caller.close()
        assert turns.count(due_at, engine.ended_at) <= MAX_TURNS


async def test_a_run_ends_when_a_caller_leaves_with_an_unread_answer():
    """Guards against runs for callers that left and whose answer is not read.

    The connection to such a caller closes only once it has read what was written.
    """
    events = b"".join(
        b"id: %d\ndata: %s\n\n" % (number, b"x" * 100_000) for number in range(1, 90)
    )
    head = (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nRunner-Seal: s\r\n"
        b"Content-Type: text/event-stream\r\n\r\n"
    )
    engine = FakeEngine(head + events)
    async with RelayRig() as rig:
        rig.closers.append(engine.close)
        rig.row("servers", "i-1", registration("engine", engine.address))
        host, _, port = rig.address.rpartition(":")
        caller = socket.create_connection((host, int(port)))
        caller.sendall(request())
        await until(engine.received, 2.0)
        # The caller reads nothing, so that the answer backs up, and leaves.
        await asyncio.sleep(0.3)
        assert not engine.ended.is_set()
        caller.shutdown(socket.SHUT_WR)
        left_at = time.monotonic()
        try:
            await until(engine.ended, 8.0)
        finally:
            caller.close()
        # Not only at the deadline.
        assert engine.ended_at - left_at < LIMIT_MS / 2000
