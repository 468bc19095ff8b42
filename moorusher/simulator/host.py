"""`python -m moorusher.simulator.host`: many instances of the module behind the simulator's wire."""

from __future__ import annotations

import sys
from typing import BinaryIO

from moorusher.scheduling.balancer import Balancer
from moorusher.scheduling.interface import Action, Event
from moorusher.simulator import wire


class Host:
    """The instances of one process. They share nothing."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}

    def handle(self, batch: wire.Batch) -> list[tuple[int, list[Action]]]:
        out: list[tuple[int, list[Action]]] = []
        for server, events in batch.groups:
            actions: list[Action] = []
            pending: list[Event] = []
            for event in events:
                if isinstance(event, wire.Begin):
                    pending.clear()
                    self.instances[server] = Balancer(event.settings)
                    actions = self.instances[server].open(batch.now)
                elif isinstance(event, wire.Died):
                    self.instances.pop(server, None)
                    pending.clear()
                    actions = []
                else:
                    pending.append(event)
            if pending:
                if server not in self.instances:
                    raise wire.WireError(f"events for server {server}, which has not started")
                actions = actions + self.instances[server].step(batch.now, pending)
            out.append((server, actions))
        return out


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer frames until the input ends; the exit code."""
    host = Host()
    seq = 0
    try:
        while head := source.read(4):
            if len(head) < 4:
                raise wire.WireError("input ends inside a frame's length")
            length = wire.frame_length(head)
            body = source.read(length - 4)
            if len(body) < length - 4:
                raise wire.WireError("input ends inside a frame")
            if len(body) >= 16:
                seq = int.from_bytes(body[12:16], "little")
            batch = wire.decode_batch(head + body)
            sink.write(wire.encode_reply(batch.seq, host.handle(batch)))
            sink.flush()
    except BrokenPipeError:
        return 1
    except Exception as exc:  # whatever the cause, it is said once on both outputs and the process ends
        text = f"{type(exc).__name__}: {exc}".replace("\n", " ")
        print(f"moorusher.scheduling: {text}", file=sys.stderr)
        sink.write(wire.encode_reply(seq, [], fatal=text))
        sink.flush()
        return 1
    return 0


def main() -> int:
    """Serve the simulator until its input ends; the exit code."""
    return serve(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    sys.exit(main())
