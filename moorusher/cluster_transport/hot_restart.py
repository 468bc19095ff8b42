"""The link between two processes of one runner: a Unix socket in $TMPDIR, frames of a JSON head and a result.

What is to be done when is `hot_restart/process_role.py`'s; who holds which key `core/key_claims.py`'s. Here
both are carried out.
"""

from __future__ import annotations

import errno
import json
import logging
import os
import socket
import stat
import struct
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import asdict
from pathlib import Path
from typing import Any, Protocol

from twisted.internet import tcp, unix
from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.internet.protocol import ClientFactory, Factory
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from ..core.clock import MS, Alarm
from ..core.idempotency_keys import Key, KeyEntry
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..hot_restart.process_role import WAITS_MS, Event, Life, State, Step
from ..hot_restart.shared_budget import Load

log = logging.getLogger("moorusher")

VERSION = 1
PLACE_AGAIN = 1_000 * MS  # until $TMPDIR is tried again
AGAIN = 200 * MS  # until the next look at a socket where nobody could be had
TOLD_EVERY = 50 * MS  # what this process takes, to the one that replaces it
MOST_FRAME = 65_536  # a result has 4 KiB
BATCH = 64  # keys said in one turn


class Owner(Protocol):
    """The service that this process is."""

    def usable(
        self, handed: dict[str, int]
    ) -> dict[str, int]: ...  # of sockets, by label, those at its addresses
    def accept(self, handed: dict[str, int]) -> None: ...  # on these, and on others of its own
    def handed_over(self) -> dict[str, int]: ...
    def pause(self, shared: set[str]) -> None: ...
    def resume(self) -> None: ...
    def leave(self) -> None: ...
    def finish(self) -> None: ...
    def load(self) -> Load: ...
    def beside(self, load: Load) -> None: ...
    def taken_out(self) -> dict[str, Any] | None: ...
    def take_out(self, told: dict[str, Any] | None) -> None: ...
    def incarnation(self) -> int: ...  # among the runners of a fleet; 0 where there is none
    def follows(self, incarnation: int) -> None: ...  # the process that this one replaces


@implementer(IFileDescriptorReceiver)
class Peer(Int32StringReceiver):
    """The other process, as the claims see it, and what it says."""

    transport: Any
    MAX_LENGTH = MOST_FRAME

    def __init__(self, link: Succession, came: bool) -> None:
        self.link, self.came = link, came  # to us, as a further process does
        self.handed: list[int] = []
        self.severed = self.gone = False
        self._entries: Iterator[KeyEntry] | None = None
        self._paused = False

    # ---- the connection ----

    def connectionMade(self) -> None:
        credentials = self.transport.socket.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12)
        _, user, _ = struct.unpack("3i", credentials)
        if user != os.getuid():  # who holds these sockets could answer in this runner's name
            self.gone = True
            self.transport.abortConnection()
            return
        self.link.connected(self)

    def fileDescriptorReceived(self, fd: int) -> None:
        self.handed.append(fd)

    def stringReceived(self, string: bytes) -> None:
        if self.gone:
            return
        head, _, blob = string.partition(b"\n")
        self.link.core.begin_turn()
        try:
            message = json.loads(head)
            self.link.heard(self, message, blob)
        except (ValueError, KeyError, TypeError, RecursionError) as exc:
            log.error("the other process said %r: %s", head[:200], exc)
            self.link.core.counters.add("succession: " + EndReason.FRAMING_LOST.value)

    def lengthLimitExceeded(self, length: int) -> None:
        self.link.core.counters.add("succession: " + EndReason.LINE_TOO_LONG.value)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        self._entries = None
        self.drop_handed()
        if not self.gone:
            self.gone = True
            self.link.lost(self)

    def drop_handed(self) -> None:
        for fd in self.handed:
            with suppress(OSError):
                os.close(fd)
        self.handed = []

    def say(self, kind: str, blob: bytes = b"", **more: Any) -> None:
        if not self.gone:
            head = json.dumps({"t": kind} | more, separators=(",", ":")).encode()
            self.sendString(head + b"\n" + blob)  # type: ignore[no-untyped-call]

    def bye(self) -> None:
        self.say("BYE")
        self.gone = True
        self._entries = None
        self.transport.loseConnection()

    # ---- keys, one by one, as fast as the other side reads ----

    def pauseProducing(self) -> None:
        self._paused = True

    def resumeProducing(self) -> None:
        self._paused = False
        self._pump()

    def stopProducing(self) -> None:
        self._entries = None

    def hand_keys(self, entries: Iterator[KeyEntry]) -> None:
        self._entries = entries
        self.transport.registerProducer(self, True)
        self._pump()

    def _pump(self) -> None:
        for _ in range(BATCH):
            if self._entries is None or self._paused or self.gone:
                return
            entry = next(self._entries, None)
            if entry is None:
                self._entries = None
                self.transport.unregisterProducer()
                return self.say("SYNCED")
            self.say(
                "KEY",
                entry.result or b"",
                k=entry.key,
                b=entry.body_digest,
                u=entry.expires_us,
                o=entry.finished,
                r=entry.result is not None,
            )
        self.link.soon(self._pump)

    # ---- claims ----

    def claim(self, serial: int, key: Key, body: int, until: int) -> None:
        self.say("CLAIM", n=serial, k=key, b=body, u=until)

    def granted(self, serial: int, key: Key) -> None:
        self.say("GRANTED", n=serial, k=key)

    def held(self, serial: int, key: Key, body: int, until: int) -> None:
        self.say("HELD", n=serial, k=key, b=body, u=until)

    def full(self, serial: int, key: Key) -> None:
        self.say("FULL", n=serial, k=key)

    def freed(self, key: Key) -> None:
        self.say("FREED", k=key)

    def settled(self, key: Key, body: int, until: int, result: bytes | None) -> None:
        self.say("SETTLED", result or b"", k=key, b=body, u=until, r=result is not None)


def key_of(message: dict[str, Any]) -> Key:
    """The key that a message names. Raises ValueError."""
    tenant, token = message["k"]
    if not isinstance(token, str) or not isinstance(tenant, str | None):
        raise ValueError("no key")
    return tenant, token


_UnixPort: Any = unix.Port  # Twisted's classes carry no types


class _Port(_UnixPort):  # type: ignore[misc]
    """Twisted's removes the name that it was bound to, and lets anybody write to it: this one has been renamed, and
    is for this user alone."""

    def connectionLost(self, reason: object) -> None:
        tcp.Port.connectionLost(self, reason)  # type: ignore[no-untyped-call]

    @classmethod
    def of(cls, reactor: Any, made: socket.socket, factory: Factory) -> _Port:
        port: _Port = cls._fromListeningDescriptor(reactor, made.fileno(), factory)
        port.mode = 0o600
        port.startListening()
        return port


class _FurtherProcesses(Factory):
    """Where a further process finds this one."""

    noisy = False

    def __init__(self, link: Succession) -> None:
        self.link = link

    def buildProtocol(self, addr: object) -> Peer:
        return Peer(self.link, came=True)


class _Look(ClientFactory):
    noisy = False

    def __init__(self, link: Succession) -> None:
        self.link = link

    def buildProtocol(self, addr: object) -> Peer:
        return Peer(self.link, came=False)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.link.not_found(getattr(reason.value, "osError", None))


class Succession:
    """Carries out the life of this process beside another one of its runner."""

    def __init__(self, reactor: Any, core: RequestEngine, owner: Owner, path: str, name: str) -> None:
        self._reactor, self.core, self._owner, self._path, self._name = reactor, core, owner, path, name
        self.life = Life()
        self.peer: Peer | None = None
        self._handed: dict[str, int] = {}  # sockets of the other process, by label, not yet listened on
        self._listening: Any = None
        self._inode = 0
        self._alarm: Alarm | None = None
        self._told = Load()
        self._unsure_until = 0  # what the other process does not know itself
        self._shared: set[str] = set()  # labels of the sockets that the new process listens on as well
        core.key_claims.peer_unresponsive = self._unanswered

    # ---- events ----

    def start(self) -> None:
        self._wait()
        self._look()

    def hear(self, event: Event) -> None:
        before = self.life.state
        steps = self.life.hear(event)
        if self.life.state is not before:
            log.info("succession: %s (%s)", self.life.state.value, event.value)
            self.core.counters.add(f"succession: {self.life.state.value}")
        if steps or self.life.state is not before:
            self._wait()
        for step in steps:
            self._carry_out(step)
        if self.life.state in (State.TAKEN, State.MENDING) and self.core.ready:
            self.hear(Event.KERNEL_UP)

    def _wait(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None
        if (wait := WAITS_MS.get(self.life.state)) is not None:
            self.core.begin_turn()
            self._alarm = self.core.alarms.at(
                self.core.clock.now + round(wait * MS), lambda: self.hear(Event.LATE)
            )

    def _unanswered(self) -> bool:
        """A claim: before GO this process may go on without the new one, afterwards it may not."""
        if self.life.state is State.HANDING:
            self.hear(Event.LATE)
        return self.core.key_claims.peer is None

    def kernel_up(self) -> None:
        self.hear(Event.KERNEL_UP)

    def term(self) -> None:
        self.hear(Event.TERM)

    def close(self) -> None:
        """The process ends in order: the other one need not wait for anything of it."""
        if self.peer is not None:
            self.peer.bye()
        if self._listening is not None:
            with suppress(OSError):
                if os.stat(self._path).st_ino == self._inode:  # else it is a successor's
                    os.unlink(self._path)

    # ---- looking ----

    def _look(self) -> None:
        try:
            found = os.stat(self._path)
        except OSError:
            return self.hear(Event.NOBODY)
        if not stat.S_ISSOCK(found.st_mode) or found.st_uid != os.getuid():
            log.warning("%s is no socket of this runner: passed over", self._path)
            return self.hear(Event.NOBODY)
        try:
            self._reactor.connectUNIX(self._path, _Look(self), timeout=2)
        except OSError as exc:  # no room for a socket, as Twisted has it raised at once
            log.warning("succession: can't look for another process yet: %s", exc)
            self._look_later()

    def _look_later(self) -> None:
        self.core.begin_turn()
        self.core.alarms.at(self.core.clock.now + AGAIN, self._look)

    def not_found(self, code: int | None) -> None:
        self.core.begin_turn()
        if code == errno.ECONNREFUSED:
            self.hear(Event.DEAD)
        elif code == errno.ENOENT:
            self.hear(Event.NOBODY)
        else:  # its queue is full: it hangs, or many come at once
            self._look_later()

    # ---- the other process ----

    def soon(self, action: Any) -> None:
        self._reactor.callLater(0, action)

    def connected(self, peer: Peer) -> None:
        self.core.begin_turn()
        if not peer.came:
            self.peer = peer
            peer.say("HELLO", v=VERSION, name=self._name, pid=os.getpid())

    def lost(self, peer: Peer) -> None:
        self.core.begin_turn()
        if peer is self.peer:
            self.peer = None
            self.hear(Event.LOST)

    def heard(self, peer: Peer, m: dict[str, Any], blob: bytes) -> None:
        kind, claims = m["t"], self.core.key_claims
        if kind == "HELLO":
            if m["v"] != VERSION or m["name"] != self._name:
                return log.warning(
                    "a further process speaks version %r for %r: passed over", m["v"], m["name"]
                )
            log.info("a further process of this runner has come: %s", m["pid"])
            free = self.life.state is State.SOLE
            if free:
                self.peer = peer
            self.hear(Event.HELLO)
            if not free:
                peer.say("BUSY")
                peer.gone = True
                peer.transport.loseConnection()
            return None
        if peer is not self.peer:
            return None
        if kind == "WELCOME":
            if m["v"] != VERSION:
                return log.warning("the other process speaks version %r", m["v"])
            handed, peer.handed = dict(zip(m["labels"], peer.handed, strict=False)), []
            self._handed = self._owner.usable(handed)
            self._drop({label: fd for label, fd in handed.items() if label not in self._handed})
            self._owner.take_out(m["out"])
            self._owner.follows(int(m.get("fleet", 0)))
            self._unsure_until = int(m["unsure"])
            self.core.keys.limits.share_memory_with(m["bytes"])
            self.hear(Event.WELCOME)
        elif kind == "BUSY":
            peer.gone, self.peer = True, None
            peer.transport.loseConnection()
            self.hear(Event.BUSY)
        elif kind == "BYE":
            peer.gone, self.peer = True, None
            peer.transport.loseConnection()
            self.hear(Event.SEVERED)
        elif kind == "KEY":
            claims.snapshot_entry(key_of(m), m["b"], m["u"], m["o"], blob if m["r"] else None)
        elif kind == "CLAIM":
            claims.peer_claims(m["n"], key_of(m), m["b"], m["u"])
        elif kind == "GRANTED":
            claims.granted(m["n"], key_of(m))
        elif kind == "HELD":
            claims.held(m["n"], key_of(m), m["b"], m["u"])
        elif kind == "FULL":
            claims.full(m["n"], key_of(m))
        elif kind == "FREED":
            claims.peer_freed(key_of(m))
        elif kind == "SETTLED":
            claims.peer_settled(key_of(m), m["b"], m["u"], blob if m["r"] else None)
        elif kind == "LOAD":
            self._owner.beside(
                Load(int(m["on_cores"]), int(m["running"]), float(m["memory_kb"]), int(m["connections"]))
            )
        elif kind == "OUT":
            self._owner.take_out(m["out"])
        elif kind == "READY":
            self._shared = set(m["labels"])
            self.hear(Event.READY)
        else:
            self.hear(Event[kind])  # SYNCED, GO
        return None

    def say_out(self) -> None:
        """The state that operators set has changed: both processes answer for one runner."""
        if self.peer is not None and self.life.claims:
            self.peer.say("OUT", out=self._owner.taken_out())

    # ---- steps ----

    def _carry_out(self, step: Step) -> None:
        core, claims, peer = self.core, self.core.key_claims, self.peer
        if step is Step.LOOK:
            self._look_later()
        elif step is Step.LISTEN or step is Step.TAKE_UP:
            handed, self._handed = self._handed, {}
            self._owner.accept(handed if step is Step.TAKE_UP else {})
            if step is Step.LISTEN:
                self._drop(handed)
        elif step is Step.TAKE_PLACE:
            self._take_place()
        elif step is Step.WELCOME and peer is not None:
            claims.peer, claims.is_successor = peer, False
            listeners = self._owner.handed_over()
            for fd in listeners.values():
                peer.transport.sendFileDescriptor(fd)
            peer.say(
                "WELCOME",
                v=VERSION,
                labels=list(listeners),
                out=self._owner.taken_out(),
                bytes=core.keys.size_bytes,
                unsure=core.keys.unknown_until,
                fleet=self._owner.incarnation(),
            )
            peer.hand_keys(claims.snapshot())
            self._told = Load()
            self._tell()
        elif step is Step.JOIN and peer is not None:
            claims.peer, claims.is_successor = peer, True
        elif step is Step.SAY_READY and peer is not None:
            peer.say("READY", labels=list(self._handed))
        elif step is Step.SAY_GO and peer is not None:
            peer.say("GO")
        elif step is Step.PAUSE:
            self._owner.pause(self._shared)
        elif step is Step.RESUME:
            self._owner.resume()
        elif step is Step.HANG_UP and peer is not None:
            self.peer = None
            peer.bye()
        elif step is Step.UNSURE:
            core.keys.unknown_until = 1 << 62
        elif step is Step.UNSURE_FOR_A_WINDOW:
            core.state.forget_keys_for_a_window()
        elif step is Step.SURE:
            core.keys.unknown_until = self._unsure_until
        elif step is Step.FORGET or step is Step.BURY:
            claims.peer_gone(died=step is Step.BURY)
            core.keys.limits.share_memory_with(None)
            self._owner.beside(Load())
            if step is Step.FORGET:
                handed, self._handed = self._handed, {}
                self._drop(handed)
        elif step is Step.LEAVE:
            self._owner.leave()
        elif step is Step.FINISH:
            self._owner.finish()

    @staticmethod
    def _drop(handed: dict[str, int]) -> None:
        for fd in handed.values():
            with suppress(OSError):
                os.close(fd)

    def _take_place(self) -> None:
        """Under a name of its own first, then in one step in the place of whatever was there."""
        own = f"{self._path}.{os.getpid()}"
        mask = os.umask(0o177)
        if self._listening is not None:  # the one that was here between has died
            self._listening.stopListening()
        try:
            Path(own).unlink(missing_ok=True)
            with socket.socket(
                socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC
            ) as made:
                made.bind(own)
                made.listen(8)
                self._listening = _Port.of(self._reactor, made, _FurtherProcesses(self))
            self._inode = os.stat(own).st_ino
            os.rename(own, self._path)
        except OSError as exc:
            log.error("no further process can find this one yet: %s: %s", self._path, exc)
            with suppress(OSError):
                os.unlink(own)
            self.core.alarms.at(self.core.clock.now + PLACE_AGAIN, self._take_place_later)
        finally:
            os.umask(mask)

    def _take_place_later(self) -> None:
        """Once $TMPDIR has room, unless this process ends, or another has the place by now."""
        if not self.core.drain_state.shutting_down and not self._is_taken():
            self.core.begin_turn()
            self._take_place()

    def _is_taken(self) -> bool:
        try:
            return stat.S_ISSOCK(os.lstat(self._path).st_mode)
        except OSError:
            return False

    def _tell(self) -> None:
        """What this process takes, to the one that is to keep within what is left."""
        if self.peer is None or not self.life.predecessor:
            return
        load = self._owner.load()
        if load != self._told:
            self._told = load
            self.peer.say("LOAD", **asdict(load))
        self.core.alarms.at(self.core.clock.now + TOLD_EVERY, self._tell)
