"""Loaded by the interpreter of a runner under test, by PYTHONPATH alone: makes system calls fail as FAULT_PLAN says.

FAULT_PLAN is JSON: a list of [call, errno, from, to, share], in seconds after the start, and of
["clock", seconds, at, 0, 0] for steps of the Unix clock. Where FAULT_START names a file, times count from when it is
there. `read` and `write` are of all sockets, `link read` and `link write` of those that the process has connected; with
errno "SHORT" they pass one byte. `dup` is of sockets, `open` of files by `io.open`; `disk write`, `disk sync` and
`disk rename` are of files, "SHORT" writes a half, and "KILL" ends the process after that half.

FAULT_HANGUP names modules: the process gets SIGHUP as it imports each of them.
"""

import errno
import io
import json
import os
import random
import select
import signal
import socket
import stat
import sys
import time

PLAN = json.loads(os.environ.get("FAULT_PLAN", "[]"))
BEGAN = time.monotonic()
START = os.environ.get("FAULT_START")
HANGUPS = [name for name in os.environ.get("FAULT_HANGUP", "").split(",") if name]
SYNCED = {}  # bytes of a file that are on the disk, by its inode
DRAW = random.Random(os.environ.get("FAULT_SEED", "1"))


def age():
    """Seconds since times count, negative before that."""
    global BEGAN, START
    if START is not None:
        if not os.path.exists(START):
            return -1.0
        BEGAN, START = time.monotonic(), None
    return time.monotonic() - BEGAN


def due(call):
    """The errno that this call fails with now, or None."""
    now = age()
    for what, error, since, until, share in PLAN:
        if what == call and since <= now < until and DRAW.random() < share:
            return error
    return None


def fail(name):
    return OSError(getattr(errno, name), os.strerror(getattr(errno, name)))


def raising(call, inner):
    def wrapped(self, *args):
        error = due(call)
        if error is None or (error == "SHORT" and call not in ("read", "write")):
            return inner(self, *args)
        if error == "SHORT":
            first = args[0][:1] if call == "write" else 1
            return inner(self, first, *args[1:])
        raise fail(error)

    return wrapped


def returning(call, inner):
    def wrapped(self, *args):
        error = due(call)
        return inner(self, *args) if error is None else getattr(errno, error)

    return wrapped


def of_links(call, inner):
    """Only where this process has made the connection: a client's is broken by the client."""
    failing = raising(call, inner)

    def wrapped(self, *args):
        return failing(self, *args) if self.outgoing else inner(self, *args)

    return wrapped


class FailingSocket(socket.socket):
    outgoing = False

    def __init__(self, *args, **kwargs):
        made = kwargs.get("fileno") is None and (len(args) < 4 or args[3] is None)
        if made and (error := due("socket")) is not None:
            raise fail(error)
        super().__init__(*args, **kwargs)

    accept = raising("accept", socket.socket.accept)
    recv = raising("read", of_links("link read", socket.socket.recv))
    send = raising("write", of_links("link write", socket.socket.send))

    def connect_ex(self, *args):
        self.outgoing = True
        return failing_connect(self, *args)


class FailingEpoll:
    def __init__(self, *args, **kwargs):
        self._inner = select_epoll(*args, **kwargs)

    def poll(self, *args, **kwargs):
        error = due("epoll")
        if error is not None:
            raise fail(error)
        return self._inner.poll(*args, **kwargs)

    def __getattr__(self, name):
        return getattr(self._inner, name)


def failing_write(fd, data):
    error = due("disk write") if stat.S_ISREG(os.fstat(fd).st_mode) else None
    if error not in (None, "SHORT", "KILL"):
        raise fail(error)
    if error is None:
        return os_write(fd, data)
    written = os_write(fd, data[: max(1, len(data) // 2)])
    if error == "KILL":
        os.kill(os.getpid(), signal.SIGKILL)
    return written


def failing_sync(fd):
    """What was written since the last success is gone after a failure, as where a system drops what it can't write."""
    found = os.fstat(fd)
    error = due("disk sync")
    if error is None:
        os_sync(fd)
        SYNCED[found.st_ino] = found.st_size
        return
    if stat.S_ISREG(found.st_mode):
        os.ftruncate(fd, SYNCED.get(found.st_ino, 0))
    raise fail(error)


def failing_open(*args, **kwargs):
    error = due("open")
    if error is not None:
        raise fail(error)
    return io_open(*args, **kwargs)


def failing_replace(old, new):
    error = due("disk rename")
    if error is not None:
        raise fail(error)
    os_replace(old, new)


def stepped(inner, unit):
    def wrapped():
        now = age()
        return inner() + sum(int(by * unit) for what, by, at, _, _ in PLAN if what == "clock" and now >= at)

    return wrapped


failing_connect = returning("connect", socket.socket.connect_ex)


def failing_dup(fd):
    error = due("dup")
    if error is not None:
        raise fail(error)
    return socket_dup(fd)


class HangupAt:
    def find_spec(self, name, path=None, target=None):
        if name in HANGUPS:
            HANGUPS.remove(name)
            os.kill(os.getpid(), signal.SIGHUP)


if HANGUPS:
    sys.meta_path.insert(0, HangupAt())

if PLAN:
    select_epoll = select.epoll
    socket.socket = FailingSocket
    select.epoll = FailingEpoll
    os_write, os.write = os.write, failing_write
    os_sync, os.fsync = os.fsync, failing_sync
    io_open, io.open = io.open, failing_open
    socket_dup, socket.dup = socket.dup, failing_dup
    os_replace, os.replace = os.replace, failing_replace
    time.time, time.time_ns = stepped(time.time, 1), stepped(time.time_ns, 10**9)
