"""The life of one process among two, as a table: in a state, what an event leads to and what is to be done.

Anything that may come in any state has a row or is passed over, and every row is one stated outcome. Time comes in as
LATE, when the wait that a state allows is over.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """Where a process is in its life beside another one."""

    LOOKING = "looks for another process"
    TAKING = "takes its keys over"
    TAKEN = "has its keys, and waits for the kernel"
    ASKING = "is ready, and waits to be let on"
    BLIND = "serves beside one that does not speak; keyed classes wait"
    MENDING = "has the keys of one that did not speak, and waits for the kernel"
    SUCCESSOR = "serves, and the other one finishes"
    SOLE = "is alone"
    HANDING = "hands its keys over, and serves on"
    REPLACED = "finishes, and the other one serves"


class Event(Enum):
    """What may happen to it."""

    NOBODY = "there is no other process"
    DEAD = "there was one, and it is dead"
    WELCOME = "the other one has answered, with its sockets"
    BUSY = "the other one is in another replacement"
    SYNCED = "all of its keys have been read"
    KERNEL_UP = "the kernel has answered"
    GO = "the other one accepts nothing more"
    SEVERED = "the other one has hung up, and serves on"
    LOST = "the other one has died"
    LATE = "too long in this state"
    HELLO = "a further process has come"
    READY = "the new one can serve"
    TERM = "the platform wants this process to end"


class Step(Enum):
    """What is to be done about that."""

    LOOK = "look (again) for the other process"
    LISTEN = "listen on sockets of its own"
    TAKE_UP = "accept on the sockets that were handed over, on others of its own"
    TAKE_PLACE = "be the one that further processes find"
    WELCOME = "hand over sockets, state and keys; claim keys from now on"
    BUSY = "send the further process away for now"
    SAY_READY = "say that it can serve"
    PAUSE = "accept nothing more, and ask connections to leave"
    SAY_GO = "let the new one on"
    RESUME = "accept again"
    HANG_UP = "say so, and close the link"
    JOIN = "claim keys with the other one from now on"
    UNSURE = "nothing is known of keys: what is new and keyed is turned away until told"
    UNSURE_FOR_A_WINDOW = "the same until the longest window is over"
    SURE = "all keys that may have run are known"
    FORGET = "what was taken over does not count"
    BURY = "what the other one left open is over, without a result"
    LEAVE = "the notice to leave"
    FINISH = "answer what was read and end, with no word to front ends"


S, E, P = State, Event, Step

# States that end by themselves where nothing comes, in ms: together well under the 6 s in which a new process must say
# yes. No wait for the kernel is among them: it may start long after the runner.
WAITS_MS: dict[State, float] = {S.LOOKING: 1_000, S.TAKING: 2_000, S.ASKING: 1_000}

_AGAIN = (P.FORGET, P.UNSURE_FOR_A_WINDOW, P.LOOK)
_ALONE = (P.BURY, P.TAKE_UP, P.TAKE_PLACE)

TABLE: dict[tuple[State, Event], tuple[State, tuple[Step, ...]]] = {
    (S.LOOKING, E.NOBODY): (S.SOLE, (P.LISTEN, P.TAKE_PLACE)),
    # A process of this runner died here, and what it ran nobody knows.
    (S.LOOKING, E.DEAD): (S.SOLE, (P.UNSURE_FOR_A_WINDOW, P.LISTEN, P.TAKE_PLACE)),
    (S.LOOKING, E.BUSY): (S.LOOKING, (P.LOOK,)),
    (S.LOOKING, E.WELCOME): (S.TAKING, (P.JOIN,)),
    (S.LOOKING, E.LOST): (S.LOOKING, _AGAIN),
    (S.LOOKING, E.SEVERED): (S.LOOKING, _AGAIN),
    (S.LOOKING, E.LATE): (S.BLIND, (P.UNSURE, P.LISTEN)),
    (S.TAKING, E.SYNCED): (S.TAKEN, ()),
    (S.TAKING, E.LOST): (S.SOLE, (P.UNSURE_FOR_A_WINDOW, *_ALONE)),
    (S.TAKING, E.SEVERED): (S.LOOKING, _AGAIN),
    (S.TAKING, E.LATE): (S.BLIND, (P.UNSURE, P.LISTEN)),
    (S.TAKEN, E.KERNEL_UP): (S.ASKING, (P.SAY_READY,)),
    (S.TAKEN, E.LOST): (S.SOLE, (P.SURE, *_ALONE)),  # it ran nothing since that was not claimed here
    (S.TAKEN, E.SEVERED): (S.LOOKING, _AGAIN),
    (S.ASKING, E.GO): (S.SUCCESSOR, (P.SURE, P.TAKE_UP, P.TAKE_PLACE)),
    (S.ASKING, E.LOST): (S.SOLE, (P.SURE, *_ALONE)),
    (S.ASKING, E.SEVERED): (S.LOOKING, _AGAIN),
    (S.ASKING, E.LATE): (S.BLIND, (P.UNSURE, P.LISTEN)),
    (S.BLIND, E.WELCOME): (S.BLIND, (P.JOIN,)),
    (S.BLIND, E.SYNCED): (S.MENDING, ()),
    (S.MENDING, E.KERNEL_UP): (S.BLIND, (P.SAY_READY,)),
    (S.MENDING, E.LOST): (S.SOLE, (P.SURE, P.BURY, P.TAKE_PLACE)),
    (S.MENDING, E.SEVERED): (S.BLIND, (P.FORGET, P.LOOK)),
    (S.BLIND, E.GO): (S.SUCCESSOR, (P.SURE, P.TAKE_PLACE)),
    (S.BLIND, E.BUSY): (S.BLIND, (P.LOOK,)),
    (S.BLIND, E.SEVERED): (S.BLIND, (P.FORGET, P.LOOK)),
    (S.BLIND, E.LOST): (S.BLIND, (P.BURY, P.UNSURE_FOR_A_WINDOW, P.LOOK)),
    (S.BLIND, E.NOBODY): (S.SOLE, (P.UNSURE_FOR_A_WINDOW, P.TAKE_PLACE)),
    (S.BLIND, E.DEAD): (S.SOLE, (P.UNSURE_FOR_A_WINDOW, P.TAKE_PLACE)),
    (S.SUCCESSOR, E.LOST): (S.SOLE, (P.BURY,)),
    (S.SUCCESSOR, E.SEVERED): (S.SOLE, (P.BURY,)),  # it says so as it ends in order
    (S.SUCCESSOR, E.HELLO): (S.SUCCESSOR, (P.BUSY,)),
    (S.SOLE, E.HELLO): (S.HANDING, (P.WELCOME,)),
    # Nothing was run over there yet: this process may go on alone at any time before GO.
    (S.HANDING, E.LATE): (S.SOLE, (P.HANG_UP, P.FORGET)),
    (S.HANDING, E.LOST): (S.SOLE, (P.FORGET,)),
    (S.HANDING, E.SEVERED): (S.SOLE, (P.FORGET,)),
    (S.HANDING, E.HELLO): (S.HANDING, (P.BUSY,)),
    (S.HANDING, E.READY): (S.REPLACED, (P.PAUSE, P.SAY_GO)),
    (S.REPLACED, E.LOST): (S.SOLE, (P.BURY, P.RESUME, P.TAKE_PLACE)),
    (S.REPLACED, E.SEVERED): (S.SOLE, (P.BURY, P.RESUME, P.TAKE_PLACE)),
    (S.REPLACED, E.HELLO): (S.REPLACED, (P.BUSY,)),
    (S.REPLACED, E.TERM): (S.REPLACED, (P.FINISH,)),
    # Without a successor that serves, it is the notice to leave, as ever.
    **{(state, E.TERM): (state, (P.LEAVE,)) for state in S if state not in (S.REPLACED, S.BLIND, S.MENDING)},
    # One that serves without having been let on hangs up first: the other one must not stop accepting for it.
    **{(state, E.TERM): (S.BLIND, (P.HANG_UP, P.FORGET, P.LEAVE)) for state in (S.BLIND, S.MENDING)},
}


class Life:
    """One process. `hear` returns what is to be done, in this order."""

    def __init__(self) -> None:
        self.state = S.LOOKING

    def hear(self, event: Event) -> tuple[Step, ...]:
        self.state, steps = TABLE.get((self.state, event), (self.state, ()))
        return steps

    @property
    def predecessor(self) -> bool:
        """The other one, if there is one, has come later."""
        return self.state in (S.SOLE, S.HANDING, S.REPLACED)

    @property
    def claims(self) -> bool:
        """There is another process that keys are claimed with."""
        return self.state in (S.TAKING, S.TAKEN, S.ASKING, S.SUCCESSOR, S.HANDING, S.REPLACED)
