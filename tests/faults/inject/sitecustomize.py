"""Injects failures of system calls into a runner under test. The interpreter loads it because of PYTHONPATH.

FAULT_PLAN is a JSON list of [call, errno, start, end, share of calls], with times in seconds after the process's start.
An entry ["clock", seconds, time, 0, 0] steps the Unix clock. If FAULT_START names a file, times count from the moment
at which this file exists. The calls are:

- `socket`, `connect`, `accept`, `epoll`, `dup` (of sockets), `open` (`io.open`).
- `read` and `write`: all sockets. `link read` and `link write`: connections that the process has opened.
  With "SHORT" as errno, `read` and `write` transfer one byte.
- `disk write`, `disk sync`, `disk rename`: files. With "SHORT", half of the data is written; with "KILL", the process
  is killed after that half.

FAULT_HANGUP is a list of modules, separated by commas: the process receives SIGHUP when it imports each of them.
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
STARTED_AT = time.monotonic()
START_FILE = os.environ.get("FAULT_START")
HANGUP_MODULES = [name for name in os.environ.get("FAULT_HANGUP", "").split(",") if name]
SYNCED_BYTES = {}  # Length of the part of a file that was synced to the disk, by inode.
RNG = random.Random(os.environ.get("FAULT_SEED", "1"))


def elapsed_s():
    """Return the seconds since the plan's start, or -1 if it has not started."""
    global STARTED_AT, START_FILE
    if START_FILE is not None:
        if not os.path.exists(START_FILE):
            return -1.0
        STARTED_AT, START_FILE = time.monotonic(), None
    return time.monotonic() - STARTED_AT


def planned_error(call):
    """Return the name of the errno with which this call fails now, or None."""
    now = elapsed_s()
    for planned_call, error, since, until, share in PLAN:
        if planned_call == call and since <= now < until and RNG.random() < share:
            return error
    return None


def make_os_error(name):
    """Return the exception for the name of an errno."""
    return OSError(getattr(errno, name), os.strerror(getattr(errno, name)))


def raise_planned_error(call, original):
    """Wrap a method of a socket so that it raises the planned errors or transfers one byte."""

    def wrapped(self, *args):
        error = planned_error(call)
        if error is None or (error == "SHORT" and call not in ("read", "write")):
            return original(self, *args)
        if error == "SHORT":
            short = args[0][:1] if call == "write" else 1
            return original(self, short, *args[1:])
        raise make_os_error(error)

    return wrapped


def return_planned_error(call, original):
    """Wrap a method of a socket so that it returns the planned error numbers."""

    def wrapped(self, *args):
        error = planned_error(call)
        return original(self, *args) if error is None else getattr(errno, error)

    return wrapped


def for_outgoing_only(call, original):
    """Wrap a method so that it fails only for connections that this process has opened.

    Connections of clients are excluded, because the simulated clients break their connections themselves.
    """
    failing = raise_planned_error(call, original)

    def wrapped(self, *args):
        return failing(self, *args) if self.outgoing else original(self, *args)

    return wrapped


class FailingSocket(socket.socket):
    """A socket whose calls fail as planned."""

    outgoing = False

    def __init__(self, *args, **kwargs):
        is_new = kwargs.get("fileno") is None and (len(args) < 4 or args[3] is None)
        if is_new and (error := planned_error("socket")) is not None:
            raise make_os_error(error)
        super().__init__(*args, **kwargs)

    accept = raise_planned_error("accept", socket.socket.accept)
    recv = raise_planned_error("read", for_outgoing_only("link read", socket.socket.recv))
    send = raise_planned_error("write", for_outgoing_only("link write", socket.socket.send))

    def connect_ex(self, *args):
        self.outgoing = True
        return failing_connect(self, *args)


class FailingEpoll:
    """An epoll object whose `poll` fails as planned."""

    def __init__(self, *args, **kwargs):
        self._epoll = select_epoll(*args, **kwargs)

    def poll(self, *args, **kwargs):
        error = planned_error("epoll")
        if error is not None:
            raise make_os_error(error)
        return self._epoll.poll(*args, **kwargs)

    def __getattr__(self, name):
        return getattr(self._epoll, name)


def failing_write(fd, data):
    """Write to a file. As planned, fail, write only half of the data, or kill the process after that half."""
    error = planned_error("disk write") if stat.S_ISREG(os.fstat(fd).st_mode) else None
    if error not in (None, "SHORT", "KILL"):
        raise make_os_error(error)
    if error is None:
        return os_write(fd, data)
    written = os_write(fd, data[: max(1, len(data) // 2)])
    if error == "KILL":
        os.kill(os.getpid(), signal.SIGKILL)
    return written


def failing_sync(fd):
    """Sync a file, or fail and truncate it to its length at the last successful sync.

    Systems that drop dirty pages after a failed write lose the same data.
    """
    file_status = os.fstat(fd)
    error = planned_error("disk sync")
    if error is None:
        os_sync(fd)
        SYNCED_BYTES[file_status.st_ino] = file_status.st_size
        return
    if stat.S_ISREG(file_status.st_mode):
        os.ftruncate(fd, SYNCED_BYTES.get(file_status.st_ino, 0))
    raise make_os_error(error)


def failing_open(*args, **kwargs):
    """Open a file, or fail as planned."""
    error = planned_error("open")
    if error is not None:
        raise make_os_error(error)
    return io_open(*args, **kwargs)


def failing_replace(old, new):
    """Rename a file, or fail as planned."""
    error = planned_error("disk rename")
    if error is not None:
        raise make_os_error(error)
    os_replace(old, new)


def add_clock_steps(original, unit):
    """Wrap a clock so that it includes the planned steps.

    :param unit: Ticks of the clock per second.
    """

    def wrapped():
        now = elapsed_s()
        return original() + sum(
            int(step_s * unit) for kind, step_s, at, _, _ in PLAN if kind == "clock" and now >= at
        )

    return wrapped


failing_connect = return_planned_error("connect", socket.socket.connect_ex)


def failing_dup(fd):
    """Duplicate a socket, or fail as planned."""
    error = planned_error("dup")
    if error is not None:
        raise make_os_error(error)
    return socket_dup(fd)


class HangupOnImport:
    """A finder that sends SIGHUP to the process before the import of a listed module, and finds no module itself."""

    def find_spec(self, name, path=None, target=None):
        if name in HANGUP_MODULES:
            HANGUP_MODULES.remove(name)
            os.kill(os.getpid(), signal.SIGHUP)


if HANGUP_MODULES:
    sys.meta_path.insert(0, HangupOnImport())

if PLAN:
    select_epoll = select.epoll
    socket.socket = FailingSocket
    select.epoll = FailingEpoll
    os_write, os.write = os.write, failing_write
    os_sync, os.fsync = os.fsync, failing_sync
    io_open, io.open = io.open, failing_open
    socket_dup, socket.dup = socket.dup, failing_dup
    os_replace, os.replace = os.replace, failing_replace
    time.time, time.time_ns = add_clock_steps(time.time, 1), add_clock_steps(time.time_ns, 10**9)
