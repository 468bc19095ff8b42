"""Values that a front accepts and that must be stored and sent between processes, and values that can't be."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from moorusher.cluster_transport.hot_restart import frames
from moorusher.cluster_transport.peers import PeerConnection, PeerOwner
from moorusher.core.idempotency_keys import digest
from moorusher.core.requests import MAX_SUBJECT_DIGITS, Arrival
from moorusher.frontends import jsonrpc_messages
from moorusher.frontends.jsonrpc_messages import InvalidParamsError
from moorusher.protocols import uwsgi_packets
from moorusher.protocols.uwsgi_packets import VARS, InvalidPacketError
from moorusher.replication.acceptor import Acceptor
from moorusher.replication.journal import RegisterRecord, encode_records, read_journal
from moorusher.replication.messages import FAST_BALLOT, BallotRequest, decode, encode
from moorusher.replication.work_record import Owner, WorkRecord, WorkRequest, WorkState, key_of
from moorusher.storage.journal_files import JournalFolder
from moorusher.storage.journal_writer import JournalWriter

from .test_journal import HEADER

PARAMS: dict[str, Any] = {
    "rid": "9b1f03aa5c7e2d41", "t0": 1764576000123, "peer": 4, "mem": 24.5, "prio": 0.5, "content": "eA==",
    "token": "5c0f6e1a",
}  # fmt: skip
LARGEST_SUBJECT = "f" * MAX_SUBJECT_DIGITS
INVALID_SUBJECTS = ["", "1" + "0" * MAX_SUBJECT_DIGITS, "-1", "+1", "0x1", "1_0", " 1", "1\n", "\u0661", "g"]


def work_request(arrival: Arrival) -> WorkRequest:
    """Return the request as it is sent to other runners (`KeyedWorkCoordinator`)."""
    return WorkRequest(
        arrival.rid, arrival.class_name, arrival.tenant, arrival.token or "", arrival.body,
        arrival.t0_unix_ms or 0.0, arrival.budget_ms, arrival.caller, arrival.memory_kb, arrival.rank,
        arrival.subject,
    )  # fmt: skip


@pytest.mark.parametrize("subject", INVALID_SUBJECTS)
def test_a_subject_that_can_not_be_stored_is_refused_at_both_fronts(subject: str) -> None:
    """17 hex digits were accepted and could not be encoded: the runner saved no vote and sent no message any more."""
    with pytest.raises(InvalidParamsError, match="obj: expected 1 to 16 hex digits"):
        jsonrpc_messages.read_arrival("submit", PARAMS | {"obj": subject})
    if subject:  # an empty variable counts as absent
        with pytest.raises(InvalidPacketError, match="expected 1 to 16 hex digits"):
            uwsgi_packets.read_arrival({VARS["class"]: "submit", VARS["obj"]: subject}, b"x")


def test_the_largest_subject_is_accepted_at_both_fronts() -> None:
    arrivals = (
        jsonrpc_messages.read_arrival("submit", PARAMS | {"obj": LARGEST_SUBJECT}),
        uwsgi_packets.read_arrival({VARS["class"]: "submit", VARS["obj"]: LARGEST_SUBJECT}, b"x"),
    )
    assert [arrival.subject for arrival in arrivals] == [2**64 - 1] * 2


NUMBERS = st.one_of(
    st.integers(-(2**70), 2**70),
    st.integers(0, 2_000),
    st.floats(),
    st.floats(0, 1, exclude_max=True),
    st.none(),
)
TEXTS = st.one_of(st.text(max_size=40), st.text("0123456789abcdefABCDEF", min_size=1, max_size=32), st.none())
VALUES = {
    "rid": TEXTS, "t0": NUMBERS, "peer": NUMBERS, "acct": TEXTS, "budget": NUMBERS, "mem": NUMBERS,
    "prio": NUMBERS, "token": TEXTS, "obj": TEXTS, "est": NUMBERS,
}  # fmt: skip
# One param at a time, since a request with several odd ones is refused for the first of them.
ODD_PARAM = st.one_of(*(st.fixed_dictionaries({name: values}) for name, values in VALUES.items()))


def is_in_settings(arrival: Arrival) -> bool:
    """Return whether the tenant's name can be one of the settings, which are UTF-8."""
    return arrival.tenant is None or arrival.tenant.isprintable()


@settings(max_examples=500, derandomize=True, deadline=None)
@given(ODD_PARAM)
def test_whatever_the_parser_accepts_can_be_sent_and_stored_and_comes_back_equal(
    values: dict[str, Any],
) -> None:
    params = json.loads(json.dumps(PARAMS | values))
    try:
        arrival = jsonrpc_messages.read_arrival("submit", params)
    except InvalidParamsError:
        return
    if not is_in_settings(arrival):
        return
    request = work_request(arrival)
    key = key_of(arrival.tenant, request.token)
    body_digest = digest(request.content)
    record = WorkRecord(WorkState.QUEUED, Owner("n1", 1), 1, body_digest, request)
    message = BallotRequest(1, key, FAST_BALLOT, record, FAST_BALLOT, {}, 1_000)
    assert decode(encode([message])) == [message]
    stored = RegisterRecord(key, FAST_BALLOT, FAST_BALLOT, record, 1_000)
    assert read_journal(encode_records([HEADER, stored]), HEADER).registers[key] == stored
    frame = frames.KeyRecord((arrival.tenant, request.token), body_digest, 1, True, b"\n{}\x00")
    assert frames.decode(frames.split(frames.encode(frame))) == frame


# ---- a value that got past the parsers ----

UNSTORABLE = 2**70


def ballot_request(serial: int, subject: int) -> BallotRequest:
    """Return the first write of a key whose request has this subject."""
    arrival = jsonrpc_messages.read_arrival("submit", PARAMS | {"token": f"t{serial}"})
    request = work_request(replace(arrival, subject=subject))
    record = WorkRecord(WorkState.QUEUED, Owner("n1", 1), 1, digest(b"x"), request)
    return BallotRequest(serial, key_of(None, request.token), FAST_BALLOT, record, FAST_BALLOT, {}, 1_000)


class Folder:
    """The folder of a journal (`journal_files.JournalFolder`), in memory."""

    size = 0
    base_size = 0
    header = HEADER

    def __init__(self) -> None:
        self.content = encode_records([HEADER])

    def append(self, data: bytes) -> None:
        self.content += data

    def rewrite(self, data: bytes) -> None:
        self.content = data


class Reactor:
    """A reactor and its thread pool, which run everything in the order in which it is scheduled."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], None]] = []

    def callLater(self, seconds: float, action: Callable[..., None], *args: Any) -> None:
        self.calls.append(partial(action, *args))

    def getThreadPool(self) -> Reactor:
        return self

    def callInThreadWithCallback(self, on_result: Any, function: Any, *args: Any) -> None:
        on_result(True, function(*args))

    def callFromThread(self, function: Any, *args: Any) -> None:
        self.callLater(0, function, *args)

    def run(self) -> None:
        while self.calls:
            self.calls.pop(0)()


def test_a_record_that_can_not_be_stored_stops_no_later_one() -> None:
    """The writer raised after it had marked itself as writing, and no vote was ever saved again."""
    reactor, folder, counted = Reactor(), Folder(), list[str]()
    acceptor = Acceptor("n1", 1, lambda key: ("n1",), recovered=True)
    writer = JournalWriter(reactor, cast(JournalFolder, folder), acceptor, lambda: 0, counted.append)
    durable: list[int] = []
    for serial, subject in ((1, 1), (2, UNSTORABLE), (3, 3)):
        request = ballot_request(serial, subject)
        assert acceptor.vote(0, request).accepted
        writer.durable(partial(durable.append, serial))
        reactor.run()
    assert durable == [1, 3] and counted.count("faults") == 1 and not writer.failure
    assert len(read_journal(folder.content, HEADER).registers) == 2


def test_a_message_that_can_not_be_sent_withholds_no_other_one() -> None:
    """An error in the first message to a peer withheld all others of that turn, also those to other peers."""
    counted: list[str] = []
    owner = SimpleNamespace(count=counted.append, schedule_flush=lambda peer: None)
    sent: list[bytes] = []
    peer = PeerConnection(cast(PeerOwner, owner), "n2")
    peer.transport = SimpleNamespace(write=sent.append, dataBuffer=b"", _tempDataBuffer=[])
    messages = [ballot_request(serial, subject) for serial, subject in ((1, 1), (2, UNSTORABLE), (3, 3))]
    for message in messages:
        peer.send(message)
    peer.flush()
    (frame,) = sent
    assert decode(frame[4:]) == [messages[0], messages[2]] and counted == ["faults"]
