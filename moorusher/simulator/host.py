"""`python -m moorusher.simulator.host`: serves many scheduler instances over the simulator's wire format."""

from __future__ import annotations

import sys
from typing import BinaryIO

from moorusher.scheduling.interface import Action, Event
from moorusher.scheduling.scheduler import Scheduler
from moorusher.simulator import wire

_LENGTH_BYTES = 4
_SEQUENCE_BYTES = slice(16, 20)  # position of the batch's sequence number in a frame


class Host:
    """The scheduler instances of one process. They share no state.

    Attributes:
        instances: Scheduler of each started runner, by the simulator's number.
    """

    def __init__(self) -> None:
        self.instances: dict[int, Scheduler] = {}

    def handle(self, batch: wire.Batch) -> list[tuple[int, list[Action]]]:
        """Return the actions of each instance of the batch, in the batch's order.

        :raises WireError: If there are events of an instance that has not started.
        """
        return [
            (instance, self._handle_events(instance, batch.now, events)) for instance, events in batch.groups
        ]

    def _handle_events(self, instance: int, now: float, events: list[wire.HostEvent]) -> list[Action]:
        """Pass the events to the instance and return its actions."""
        # Events before the last start or end of the instance are discarded, together with their actions.
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
    """Answer frames until the input ends, and return the exit code.

    An error ends the loop and is reported in a fatal reply and on stderr.
    """
    host = Host()
    sequence = 0
    try:
        while length_prefix := source.read(_LENGTH_BYTES):
            frame = length_prefix + _read_body(source, length_prefix)
            if len(frame) >= _SEQUENCE_BYTES.stop:
                sequence = int.from_bytes(frame[_SEQUENCE_BYTES], "little")
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


def _read_body(source: BinaryIO, length_prefix: bytes) -> bytes:
    if len(length_prefix) < _LENGTH_BYTES:
        raise wire.WireError("input ends inside a frame's length")
    size = wire.frame_length(length_prefix) - _LENGTH_BYTES
    body = source.read(size)
    if len(body) < size:
        raise wire.WireError("input ends inside a frame")
    return body


def main() -> int:
    """Serve the simulator until its input ends, and return the exit code."""
    return serve(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    sys.exit(main())
