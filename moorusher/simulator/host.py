"""`python -m moorusher.simulator.host`: many instances of the scheduler behind the simulator's wire."""

from __future__ import annotations

import sys
from typing import BinaryIO

from moorusher.scheduling.interface import Action, Event
from moorusher.scheduling.scheduler import Scheduler
from moorusher.simulator import wire

_LENGTH_BYTES = 4
_SEQUENCE = slice(16, 20)  # where a frame holds the number of its batch


class Host:
    """The instances of one process. They share nothing.

    Attributes:
        instances: the scheduler of each runner by the simulator's number, from its start to its death.
    """

    def __init__(self) -> None:
        self.instances: dict[int, Scheduler] = {}

    def handle(self, batch: wire.Batch) -> list[tuple[int, list[Action]]]:
        """The actions of each instance of the batch, in the batch's order.

        Raises:
            WireError: events of an instance that has not started.
        """
        return [
            (instance, self._handle_events(instance, batch.now, events)) for instance, events in batch.groups
        ]

    def _handle_events(self, instance: int, now: float, events: list[wire.HostEvent]) -> list[Action]:
        """What came before a start or a death is void, with the actions that it led to."""
        actions: list[Action] = []
        pending: list[Event] = []
        for event in events:
            if isinstance(event, wire.InstanceStarted):
                pending.clear()
                self.instances[instance] = Scheduler(event.settings)
                actions = self.instances[instance].open(now)
            elif isinstance(event, wire.InstanceDied):
                self.instances.pop(instance, None)
                pending.clear()
                actions = []
            else:
                pending.append(event)
        if not pending:
            return actions
        if instance not in self.instances:
            raise wire.WireError(f"events for server {instance}, which has not started")
        return actions + self.instances[instance].step(now, pending)


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer frames until the input ends; the exit code.

    Whatever fails is reported once on each output, as the text of a fatal reply and as a line of the log.
    """
    host = Host()
    sequence = 0
    try:
        while head := source.read(_LENGTH_BYTES):
            frame = head + _read_body(source, head)
            if len(frame) >= _SEQUENCE.stop:
                sequence = int.from_bytes(frame[_SEQUENCE], "little")
            batch = wire.decode_batch(frame)
            sink.write(wire.encode_reply(batch.sequence, host.handle(batch)))
            sink.flush()
    except BrokenPipeError:
        return 1
    except Exception as exc:
        text = f"{type(exc).__name__}: {exc}".replace("\n", " ")
        print(f"moorusher.scheduling: {text}", file=sys.stderr)
        sink.write(wire.encode_reply(sequence, [], fatal=text))
        sink.flush()
        return 1
    return 0


def _read_body(source: BinaryIO, head: bytes) -> bytes:
    if len(head) < _LENGTH_BYTES:
        raise wire.WireError("input ends inside a frame's length")
    size = wire.frame_length(head) - _LENGTH_BYTES
    body = source.read(size)
    if len(body) < size:
        raise wire.WireError("input ends inside a frame")
    return body


def main() -> int:
    """Serve the simulator until its input ends; the exit code."""
    return serve(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    sys.exit(main())
