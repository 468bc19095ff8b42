"""The role of one process while another process of its runner may be there, as a state machine.

Events go in, instructions come out; a transition that is not in the table changes nothing. Time comes in as `TIMEOUT`,
when the wait that a state allows is over.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """The role of a process. The values are names of counters, and are read in the log."""

    # Accepts nothing, and claims no keys.
    DISCOVERING = "looks for another process"
    # From here to REQUESTING_HANDOVER it accepts nothing, and every key of the other one that it has heard of counts.
    SYNCING_KEYS = "takes its keys over"
    AWAITING_KERNEL = "has its keys, and waits for the kernel"
    REQUESTING_HANDOVER = "is ready, and waits to be let on"
    # Accepts on sockets of its own. A key that is new here may have run there: such requests are rejected. The value
    # is the name of a counter, and older than this rule.
    SERVING_WITHOUT_KEYS = "serves beside one that does not speak; keyed classes wait"
    KEYS_SYNCED_LATE = "has the keys of one that did not speak, and waits for the kernel"
    # Accepts. The other one accepts nothing more, and each key is claimed with it.
    SUCCESSOR = "serves, and the other one finishes"
    # Accepts, and every key is this process's to decide on.
    SOLE = "is alone"
    # Accepts, and each key is claimed with the newcomer, which runs nothing before it has been let on.
    HANDING_OVER = "hands its keys over, and serves on"
    # Accepts nothing more, and each key is claimed with the successor.
    REPLACED = "finishes, and the other one serves"


class Event(Enum):
    """What may happen to a process. The values are read in the log."""

    NO_PEER = "there is no other process"
    PEER_DEAD = "there was one, and it is dead"
    WELCOMED = "the other one has answered, with its sockets"
    PEER_BUSY = "the other one is in another replacement"
    KEYS_SYNCED = "all of its keys have been read"
    KERNEL_UP = "the kernel has answered"
    LET_ON = "the other one accepts nothing more"
    PEER_LEFT = "the other one has hung up, and serves on"
    PEER_DIED = "the other one has died"
    TIMEOUT = "too long in this state"
    NEWCOMER = "a further process has come"
    NEWCOMER_READY = "the new one can serve"
    SIGTERM = "the platform wants this process to end"


class Instruction(Enum):
    """What is to be done about an event."""

    DISCOVER = "look (again) for the other process"
    LISTEN = "listen on sockets of its own"
    ADOPT_SOCKETS = "accept on the sockets that were handed over, on others of its own"
    PUBLISH_ADDRESS = "be the one that further processes find"
    SEND_WELCOME = "hand over sockets, state and keys; claim keys from now on"
    SEND_BUSY = "send the further process away for now"
    SEND_READY = "say that it can serve"
    STOP_ACCEPTING = "accept nothing more, and ask connections to leave"
    LET_ON = "let the new one on"
    RESUME_ACCEPTING = "accept again"
    DISCONNECT = "say so, and close the connection"
    CLAIM_KEYS = "claim keys with the other one from now on"
    DISTRUST_KEYS = "reject requests with a key that is new here, until told otherwise"
    DISTRUST_KEYS_FOR_A_WINDOW = "the same until the longest window of a key is over"
    TRUST_KEYS = "all keys that may have run are known"
    DISCARD_PEER_KEYS = "the other one's open keys never ran"
    CLOSE_PEER_KEYS = "the other one's open keys may have run: they are finished, without a result"
    DRAIN = "shut the runner down"
    FINISH = "answer what was read and end, with no word to front ends"


Do = Instruction  # short, in the tables below

# How long a state lasts at most, in ms: together well under the 6 s in which a new process has to answer health checks.
# No wait for the kernel is among them: it may start long after the runner.
TIMEOUTS_MS: dict[State, float] = {
    State.DISCOVERING: 1_000,
    State.SYNCING_KEYS: 2_000,
    State.REQUESTING_HANDOVER: 1_000,
}

_START_OVER = (Do.DISCARD_PEER_KEYS, Do.DISTRUST_KEYS_FOR_A_WINDOW, Do.DISCOVER)
_TAKE_THE_PLACE = (Do.CLOSE_PEER_KEYS, Do.ADOPT_SOCKETS, Do.PUBLISH_ADDRESS)
_SERVE_WITHOUT_KEYS = (State.SERVING_WITHOUT_KEYS, (Do.DISTRUST_KEYS, Do.LISTEN))
_SERVE_ON = (State.SOLE, (Do.CLOSE_PEER_KEYS, Do.RESUME_ACCEPTING, Do.PUBLISH_ADDRESS))

Transition = tuple[State, tuple[Instruction, ...]]

_NEW_PROCESS: dict[tuple[State, Event], Transition] = {
    (State.DISCOVERING, Event.NO_PEER): (State.SOLE, (Do.LISTEN, Do.PUBLISH_ADDRESS)),
    # A process of this runner died here, and nobody knows what it ran.
    (State.DISCOVERING, Event.PEER_DEAD): (
        State.SOLE,
        (Do.DISTRUST_KEYS_FOR_A_WINDOW, Do.LISTEN, Do.PUBLISH_ADDRESS),
    ),
    (State.DISCOVERING, Event.PEER_BUSY): (State.DISCOVERING, (Do.DISCOVER,)),
    (State.DISCOVERING, Event.WELCOMED): (State.SYNCING_KEYS, (Do.CLAIM_KEYS,)),
    (State.DISCOVERING, Event.PEER_DIED): (State.DISCOVERING, _START_OVER),
    (State.DISCOVERING, Event.PEER_LEFT): (State.DISCOVERING, _START_OVER),
    (State.DISCOVERING, Event.TIMEOUT): _SERVE_WITHOUT_KEYS,
    (State.SYNCING_KEYS, Event.KEYS_SYNCED): (State.AWAITING_KERNEL, ()),
    (State.SYNCING_KEYS, Event.PEER_DIED): (State.SOLE, (Do.DISTRUST_KEYS_FOR_A_WINDOW, *_TAKE_THE_PLACE)),
    (State.SYNCING_KEYS, Event.PEER_LEFT): (State.DISCOVERING, _START_OVER),
    (State.SYNCING_KEYS, Event.TIMEOUT): _SERVE_WITHOUT_KEYS,
    (State.AWAITING_KERNEL, Event.KERNEL_UP): (State.REQUESTING_HANDOVER, (Do.SEND_READY,)),
    # Since the keys were synced it has run nothing that was not claimed here.
    (State.AWAITING_KERNEL, Event.PEER_DIED): (State.SOLE, (Do.TRUST_KEYS, *_TAKE_THE_PLACE)),
    (State.AWAITING_KERNEL, Event.PEER_LEFT): (State.DISCOVERING, _START_OVER),
    (State.REQUESTING_HANDOVER, Event.LET_ON): (
        State.SUCCESSOR,
        (Do.TRUST_KEYS, Do.ADOPT_SOCKETS, Do.PUBLISH_ADDRESS),
    ),
    (State.REQUESTING_HANDOVER, Event.PEER_DIED): (State.SOLE, (Do.TRUST_KEYS, *_TAKE_THE_PLACE)),
    (State.REQUESTING_HANDOVER, Event.PEER_LEFT): (State.DISCOVERING, _START_OVER),
    (State.REQUESTING_HANDOVER, Event.TIMEOUT): _SERVE_WITHOUT_KEYS,
}

_SERVING_BESIDE_A_SILENT_PEER: dict[tuple[State, Event], Transition] = {
    (State.SERVING_WITHOUT_KEYS, Event.WELCOMED): (State.SERVING_WITHOUT_KEYS, (Do.CLAIM_KEYS,)),
    (State.SERVING_WITHOUT_KEYS, Event.KEYS_SYNCED): (State.KEYS_SYNCED_LATE, ()),
    (State.KEYS_SYNCED_LATE, Event.KERNEL_UP): (State.SERVING_WITHOUT_KEYS, (Do.SEND_READY,)),
    (State.KEYS_SYNCED_LATE, Event.PEER_DIED): (
        State.SOLE,
        (Do.TRUST_KEYS, Do.CLOSE_PEER_KEYS, Do.PUBLISH_ADDRESS),
    ),
    (State.KEYS_SYNCED_LATE, Event.PEER_LEFT): (
        State.SERVING_WITHOUT_KEYS,
        (Do.DISCARD_PEER_KEYS, Do.DISCOVER),
    ),
    (State.SERVING_WITHOUT_KEYS, Event.LET_ON): (State.SUCCESSOR, (Do.TRUST_KEYS, Do.PUBLISH_ADDRESS)),
    (State.SERVING_WITHOUT_KEYS, Event.PEER_BUSY): (State.SERVING_WITHOUT_KEYS, (Do.DISCOVER,)),
    (State.SERVING_WITHOUT_KEYS, Event.PEER_LEFT): (
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
    (State.SERVING_WITHOUT_KEYS, Event.PEER_DEAD): (
        State.SOLE,
        (Do.DISTRUST_KEYS_FOR_A_WINDOW, Do.PUBLISH_ADDRESS),
    ),
}

_SERVING: dict[tuple[State, Event], Transition] = {
    (State.SUCCESSOR, Event.PEER_DIED): (State.SOLE, (Do.CLOSE_PEER_KEYS,)),
    (State.SUCCESSOR, Event.PEER_LEFT): (State.SOLE, (Do.CLOSE_PEER_KEYS,)),  # the end of a shutdown in order
    (State.SUCCESSOR, Event.NEWCOMER): (State.SUCCESSOR, (Do.SEND_BUSY,)),
    (State.SOLE, Event.NEWCOMER): (State.HANDING_OVER, (Do.SEND_WELCOME,)),
    # The newcomer has run nothing yet: this process may go on alone at any time before it lets the newcomer on.
    (State.HANDING_OVER, Event.TIMEOUT): (State.SOLE, (Do.DISCONNECT, Do.DISCARD_PEER_KEYS)),
    (State.HANDING_OVER, Event.PEER_DIED): (State.SOLE, (Do.DISCARD_PEER_KEYS,)),
    (State.HANDING_OVER, Event.PEER_LEFT): (State.SOLE, (Do.DISCARD_PEER_KEYS,)),
    (State.HANDING_OVER, Event.NEWCOMER): (State.HANDING_OVER, (Do.SEND_BUSY,)),
    (State.HANDING_OVER, Event.NEWCOMER_READY): (State.REPLACED, (Do.STOP_ACCEPTING, Do.LET_ON)),
    (State.REPLACED, Event.PEER_DIED): _SERVE_ON,
    (State.REPLACED, Event.PEER_LEFT): _SERVE_ON,
    (State.REPLACED, Event.NEWCOMER): (State.REPLACED, (Do.SEND_BUSY,)),
}

# Without a successor that serves, SIGTERM drains the runner.
_SIGTERM: dict[tuple[State, Event], Transition] = {
    (state, Event.SIGTERM): (state, (Do.DRAIN,))
    for state in State
    if state not in (State.REPLACED, State.SERVING_WITHOUT_KEYS, State.KEYS_SYNCED_LATE)
}
_SIGTERM[State.REPLACED, Event.SIGTERM] = (State.REPLACED, (Do.FINISH,))
# It serves without having been let on, and disconnects first: the other one must not stop accepting for it.
for _state in (State.SERVING_WITHOUT_KEYS, State.KEYS_SYNCED_LATE):
    _SIGTERM[_state, Event.SIGTERM] = (
        State.SERVING_WITHOUT_KEYS,
        (Do.DISCONNECT, Do.DISCARD_PEER_KEYS, Do.DRAIN),
    )

TRANSITIONS = _NEW_PROCESS | _SERVING_BESIDE_A_SILENT_PEER | _SERVING | _SIGTERM


class ProcessRole:
    """The state of one process.

    Attributes:
        state: changed by `handle` alone.
    """

    def __init__(self) -> None:
        self.state = State.DISCOVERING

    def handle(self, event: Event) -> tuple[Instruction, ...]:
        """What is to be done about an event, in this order."""
        self.state, instructions = TRANSITIONS.get((self.state, event), (self.state, ()))
        return instructions

    @property
    def is_predecessor(self) -> bool:
        """The other process, if there is one, has come later."""
        return self.state in (State.SOLE, State.HANDING_OVER, State.REPLACED)

    @property
    def claims_keys(self) -> bool:
        """There is another process that keys are claimed with."""
        return self.state in (
            State.SYNCING_KEYS,
            State.AWAITING_KERNEL,
            State.REQUESTING_HANDOVER,
            State.SUCCESSOR,
            State.HANDING_OVER,
            State.REPLACED,
        )
