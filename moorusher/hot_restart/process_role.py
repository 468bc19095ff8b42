"""State machine of the role that a process has during a hot restart. The peer is the other process of the runner."""

# `ProcessRole` takes events and returns instructions. An event without a transition in the table has no effect. TIMEOUT
# is the event for a state that has lasted as long as TIMEOUTS_MS allows.

from __future__ import annotations

from enum import Enum


class State(Enum):
    """The role of a process. The values appear in names of counters and in the log."""

    # Does not accept connections or claim keys.
    DISCOVERING = "looks for another process"
    # In this state and the next two it does not accept connections, and it records all keys that the peer sends.
    SYNCING_KEYS = "takes its keys over"
    AWAITING_KERNEL = "has its keys, and waits for the kernel"
    REQUESTING_HANDOVER = "is ready, and waits to be let on"
    # Accepts on its own sockets, since the peer did not respond in time. Requests with a key that is unknown here are
    # rejected, as the peer may have run them. The string below says that they wait, which is wrong, but the string
    # can't be changed, since it names a counter.
    SERVING_WITHOUT_KEYS = "serves beside one that does not speak; keyed classes wait"
    KEYS_SYNCED_LATE = "has the keys of one that did not speak, and waits for the kernel"
    # Accepts connections and claims each key with the peer, which no longer accepts.
    SUCCESSOR = "serves, and the other one finishes"
    # Accepts connections, and decides on all keys alone.
    SOLE = "is alone"
    # Accepts connections and claims each key with the new process, which runs nothing before it may accept.
    HANDING_OVER = "hands its keys over, and serves on"
    # Does not accept connections any more, and claims each key with the successor.
    REPLACED = "finishes, and the other one serves"


class Event(Enum):
    """An event that may change the role. The values appear in the log."""

    NO_PEER = "there is no other process"
    DEAD_PEER_FOUND = "found the socket of a process that has died"
    WELCOMED = "the other process has sent its sockets"
    PEER_BUSY = "the other process is handing over to another one"
    KEYS_SYNCED = "all keys of the other process have been read"
    KERNEL_UP = "the kernel has answered"
    ACCEPT_PERMITTED = "the other process has stopped accepting"
    PEER_DISCONNECTED = "the other process has closed the connection"
    PEER_DIED = "the other one has died"  # operators find this text in docs/operate/daily.md
    TIMEOUT = "timeout in this state"
    NEWCOMER = "a new process has connected"
    NEWCOMER_READY = "the new process is ready to serve"
    SIGTERM = "received SIGTERM"


class Instruction(Enum):
    """An instruction for the process, in response to an event."""

    DISCOVER = "look for the other process, again after a delay"
    LISTEN = "listen on new sockets"
    ADOPT_SOCKETS = "accept on the sockets that were handed over, and on new ones for other addresses"
    PUBLISH_ADDRESS = "listen on the socket by which new processes find this one"
    SEND_WELCOME = "hand over sockets, state and keys, and claim keys with the new process"
    SEND_BUSY = "tell the new process to try again later"
    SEND_READY = "tell the other process that this one is ready to serve"
    STOP_ACCEPTING = "stop accepting, and ask the clients to disconnect"
    PERMIT_ACCEPT = "permit the new process to accept"
    RESUME_ACCEPTING = "accept again"
    DISCONNECT = "announce the end of the connection, and close it"
    CLAIM_KEYS = "claim keys with the other process"
    DISTRUST_KEYS = "reject requests with unknown keys until TRUST_KEYS"
    DISTRUST_KEYS_FOR_A_WINDOW = "reject requests with unknown keys for the longest window of a key"
    TRUST_KEYS = "run requests with unknown keys: all keys that may have run are known"
    DISCARD_PEER_KEYS = "forget the other process's open keys, which it never ran"
    CLOSE_PEER_KEYS = "finish the other process's open keys without a result, as it may have run them"
    DRAIN = "shut the runner down"
    FINISH = "answer the requests that were read, and exit without notifying front ends"


Do = Instruction  # short alias for the tables below

# Maximum duration of a state, in ms. The sum is well under the 6 s in which a new process must answer health checks.
# The states that wait for the kernel have no limit, as it may start long after the runner.
TIMEOUTS_MS: dict[State, float] = {
    State.DISCOVERING: 1_000,
    State.SYNCING_KEYS: 2_000,
    State.REQUESTING_HANDOVER: 1_000,
}

_RESTART_DISCOVERY = (Do.DISCARD_PEER_KEYS, Do.DISTRUST_KEYS_FOR_A_WINDOW, Do.DISCOVER)
_REPLACE_DEAD_PEER = (Do.CLOSE_PEER_KEYS, Do.ADOPT_SOCKETS, Do.PUBLISH_ADDRESS)
_SERVE_WITHOUT_KEYS = (State.SERVING_WITHOUT_KEYS, (Do.DISTRUST_KEYS, Do.LISTEN))
_RESUME_SERVING = (State.SOLE, (Do.CLOSE_PEER_KEYS, Do.RESUME_ACCEPTING, Do.PUBLISH_ADDRESS))

Transition = tuple[State, tuple[Instruction, ...]]

_NEW_PROCESS: dict[tuple[State, Event], Transition] = {
    (State.DISCOVERING, Event.NO_PEER): (State.SOLE, (Do.LISTEN, Do.PUBLISH_ADDRESS)),
    # The previous process of this runner died without handing its keys over, so this process does not know which
    # requests with a key have run.
    (State.DISCOVERING, Event.DEAD_PEER_FOUND): (
        State.SOLE,
        (Do.DISTRUST_KEYS_FOR_A_WINDOW, Do.LISTEN, Do.PUBLISH_ADDRESS),
    ),
    (State.DISCOVERING, Event.PEER_BUSY): (State.DISCOVERING, (Do.DISCOVER,)),
    (State.DISCOVERING, Event.WELCOMED): (State.SYNCING_KEYS, (Do.CLAIM_KEYS,)),
    (State.DISCOVERING, Event.PEER_DIED): (State.DISCOVERING, _RESTART_DISCOVERY),
    (State.DISCOVERING, Event.PEER_DISCONNECTED): (State.DISCOVERING, _RESTART_DISCOVERY),
    (State.DISCOVERING, Event.TIMEOUT): _SERVE_WITHOUT_KEYS,
    (State.SYNCING_KEYS, Event.KEYS_SYNCED): (State.AWAITING_KERNEL, ()),
    (State.SYNCING_KEYS, Event.PEER_DIED): (State.SOLE, (Do.DISTRUST_KEYS_FOR_A_WINDOW, *_REPLACE_DEAD_PEER)),
    (State.SYNCING_KEYS, Event.PEER_DISCONNECTED): (State.DISCOVERING, _RESTART_DISCOVERY),
    (State.SYNCING_KEYS, Event.TIMEOUT): _SERVE_WITHOUT_KEYS,
    (State.AWAITING_KERNEL, Event.KERNEL_UP): (State.REQUESTING_HANDOVER, (Do.SEND_READY,)),
    # This process knows all keys that may have run: it has received all keys of the peer, and since then the peer has
    # claimed each new key with this process before it ran the request.
    (State.AWAITING_KERNEL, Event.PEER_DIED): (State.SOLE, (Do.TRUST_KEYS, *_REPLACE_DEAD_PEER)),
    (State.AWAITING_KERNEL, Event.PEER_DISCONNECTED): (State.DISCOVERING, _RESTART_DISCOVERY),
    (State.REQUESTING_HANDOVER, Event.ACCEPT_PERMITTED): (
        State.SUCCESSOR,
        (Do.TRUST_KEYS, Do.ADOPT_SOCKETS, Do.PUBLISH_ADDRESS),
    ),
    (State.REQUESTING_HANDOVER, Event.PEER_DIED): (State.SOLE, (Do.TRUST_KEYS, *_REPLACE_DEAD_PEER)),
    (State.REQUESTING_HANDOVER, Event.PEER_DISCONNECTED): (State.DISCOVERING, _RESTART_DISCOVERY),
    (State.REQUESTING_HANDOVER, Event.TIMEOUT): _SERVE_WITHOUT_KEYS,
}

_UNRESPONSIVE_PEER: dict[tuple[State, Event], Transition] = {
    (State.SERVING_WITHOUT_KEYS, Event.WELCOMED): (State.SERVING_WITHOUT_KEYS, (Do.CLAIM_KEYS,)),
    (State.SERVING_WITHOUT_KEYS, Event.KEYS_SYNCED): (State.KEYS_SYNCED_LATE, ()),
    (State.KEYS_SYNCED_LATE, Event.KERNEL_UP): (State.SERVING_WITHOUT_KEYS, (Do.SEND_READY,)),
    (State.KEYS_SYNCED_LATE, Event.PEER_DIED): (
        State.SOLE,
        (Do.TRUST_KEYS, Do.CLOSE_PEER_KEYS, Do.PUBLISH_ADDRESS),
    ),
    (State.KEYS_SYNCED_LATE, Event.PEER_DISCONNECTED): (
        State.SERVING_WITHOUT_KEYS,
        (Do.DISCARD_PEER_KEYS, Do.DISCOVER),
    ),
    (State.SERVING_WITHOUT_KEYS, Event.ACCEPT_PERMITTED): (
        State.SUCCESSOR,
        (Do.TRUST_KEYS, Do.PUBLISH_ADDRESS),
    ),
    (State.SERVING_WITHOUT_KEYS, Event.PEER_BUSY): (State.SERVING_WITHOUT_KEYS, (Do.DISCOVER,)),
    (State.SERVING_WITHOUT_KEYS, Event.PEER_DISCONNECTED): (
        State.SERVING_WITHOUT_KEYS,
        (Do.DISCARD_PEER_KEYS, Do.DISCOVER),
    ),
    (State.SERVING_WITHOUT_KEYS, Event.PEER_DIED): (
        State.SERVING_WITHOUT_KEYS,
        (Do.CLOSE_PEER_KEYS, Do.DISTRUST_KEYS_FOR_A_WINDOW, Do.DISCOVER),
    ),
    (State.SERVING_WITHOUT_KEYS, Event.NO_PEER): (
        State.SOLE,
        (Do.DISTRUST_KEYS_FOR_A_WINDOW, Do.PUBLISH_ADDRESS),
    ),
    (State.SERVING_WITHOUT_KEYS, Event.DEAD_PEER_FOUND): (
        State.SOLE,
        (Do.DISTRUST_KEYS_FOR_A_WINDOW, Do.PUBLISH_ADDRESS),
    ),
}

_SERVING: dict[tuple[State, Event], Transition] = {
    (State.SUCCESSOR, Event.PEER_DIED): (State.SOLE, (Do.CLOSE_PEER_KEYS,)),
    # The peer has completed its graceful shutdown.
    (State.SUCCESSOR, Event.PEER_DISCONNECTED): (State.SOLE, (Do.CLOSE_PEER_KEYS,)),
    (State.SUCCESSOR, Event.NEWCOMER): (State.SUCCESSOR, (Do.SEND_BUSY,)),
    (State.SOLE, Event.NEWCOMER): (State.HANDING_OVER, (Do.SEND_WELCOME,)),
    # Until it is permitted to accept, the new process has run nothing, so this process may continue alone.
    (State.HANDING_OVER, Event.TIMEOUT): (State.SOLE, (Do.DISCONNECT, Do.DISCARD_PEER_KEYS)),
    (State.HANDING_OVER, Event.PEER_DIED): (State.SOLE, (Do.DISCARD_PEER_KEYS,)),
    (State.HANDING_OVER, Event.PEER_DISCONNECTED): (State.SOLE, (Do.DISCARD_PEER_KEYS,)),
    (State.HANDING_OVER, Event.NEWCOMER): (State.HANDING_OVER, (Do.SEND_BUSY,)),
    (State.HANDING_OVER, Event.NEWCOMER_READY): (State.REPLACED, (Do.STOP_ACCEPTING, Do.PERMIT_ACCEPT)),
    (State.REPLACED, Event.PEER_DIED): _RESUME_SERVING,
    (State.REPLACED, Event.PEER_DISCONNECTED): _RESUME_SERVING,
    (State.REPLACED, Event.NEWCOMER): (State.REPLACED, (Do.SEND_BUSY,)),
}

# SIGTERM drains the runner, except in a process that has been replaced.
_SIGTERM: dict[tuple[State, Event], Transition] = {
    (state, Event.SIGTERM): (state, (Do.DRAIN,))
    for state in State
    if state not in (State.REPLACED, State.SERVING_WITHOUT_KEYS, State.KEYS_SYNCED_LATE)
}
_SIGTERM[State.REPLACED, Event.SIGTERM] = (State.REPLACED, (Do.FINISH,))
# In these states the peer still accepts. This process disconnects first, so that the peer does not stop accepting for a
# process that is shutting down.
for _state in (State.SERVING_WITHOUT_KEYS, State.KEYS_SYNCED_LATE):
    _SIGTERM[_state, Event.SIGTERM] = (
        State.SERVING_WITHOUT_KEYS,
        (Do.DISCONNECT, Do.DISCARD_PEER_KEYS, Do.DRAIN),
    )

TRANSITIONS = _NEW_PROCESS | _UNRESPONSIVE_PEER | _SERVING | _SIGTERM


class ProcessRole:
    """The role of one process.

    Attributes:
        state: Current state; only `handle` changes it.
    """

    def __init__(self) -> None:
        self.state = State.DISCOVERING

    def handle(self, event: Event) -> tuple[Instruction, ...]:
        """Handle an event, and return the instructions to carry out, in order."""
        self.state, instructions = TRANSITIONS.get((self.state, event), (self.state, ()))
        return instructions

    @property
    def is_predecessor(self) -> bool:
        """Whether the other process, if there is one, was started after this one."""
        return self.state in (State.SOLE, State.HANDING_OVER, State.REPLACED)

    @property
    def claims_keys(self) -> bool:
        """Whether keys are claimed with another process."""
        return self.state in (
            State.SYNCING_KEYS,
            State.AWAITING_KERNEL,
            State.REQUESTING_HANDOVER,
            State.SUCCESSOR,
            State.HANDING_OVER,
            State.REPLACED,
        )
