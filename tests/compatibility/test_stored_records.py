"""Data that a runner stores on disk or in registers of a majority, and that later builds must read.

Guards against stored data that another build reads differently or not at all. A runner would start without its journal
(`is not used, and is kept`), without customers' rules (`can't be read, and is put aside`), or without a warm start; and
an earlier build that is rolled back to could not read the data that this one has written.
"""

from __future__ import annotations

import json
import sqlite3
import zlib
from pathlib import Path
from typing import Any, get_args

import msgspec
import pytest

from moorusher.config_distribution import publisher
from moorusher.forecast_service import forecaster
from moorusher.forecasting import demand_counts, demand_ledger, ledger_codec, scaling_hints
from moorusher.leadership import chunks, lease_record
from moorusher.leadership import heartbeat as duty_report
from moorusher.leadership.journal import DutyAcceptor
from moorusher.maintenance import schedule
from moorusher.membership.placement import Placement
from moorusher.membership.policy import Seat
from moorusher.namespaces import revision_history
from moorusher.replication import journal
from moorusher.storage.journal_files import open_folder
from moorusher.storage.revisions import Store
from moorusher.warm_start import snapshot
from moorusher.warm_start.learned_state import LearnedState

from .forms import SampleFactory, encoded_form, form_and_samples
from .golden import assert_golden, read_golden

# ---- adapters: only this section uses the program's names ----

RECORD_TYPES = get_args(journal.Record)
HEADER = journal.JournalHeader(journal.JOURNAL_VERSION, "f", "0123456789abcdef", "n1")
LeaseRecord, Schedule, History = (
    lease_record.LeaseRecord,
    schedule.Schedule,
    revision_history.RevisionHistory,
)
encode_lease, decode_lease = lease_record.encode_record, lease_record.decode_record
encode_schedule, decode_schedule = schedule.encode_schedule, schedule.decode_schedule
encode_history = revision_history.encode_history
encode_journal, decode_record = journal.encode_records, journal._decoder.decode
Heartbeats, decode_heartbeats = (
    duty_report.HeartbeatState,
    msgspec.json.Decoder(duty_report.HeartbeatState).decode,
)
encode_json = msgspec.json.Encoder().encode
encode_snapshot, decode_snapshot = snapshot.encode_snapshot, snapshot.decode_snapshot
ScalingHints, BucketCounts = scaling_hints.ScalingHints, demand_counts.BucketCounts
Ledger, encode_ledger = demand_ledger.DemandLedger, ledger_codec.encode_ledger


def encode_key(customer: str, incarnation: int, route: str, zone: str) -> str:
    return demand_counts.encode_key(demand_counts.RouteKey(customer, incarnation, route, zone))


def decode_history(data: bytes) -> Any:
    return revision_history.decode_history(data, "w1")


def records_of(data: bytes) -> list[Any]:
    """Return the records that a starting process reads from a journal, in the order of a rewritten file."""
    image = journal.read_journal(data, HEADER)
    incarnations, recovered = (
        journal.IncarnationsRecord(image.incarnations),
        [journal.RecoveredRecord()] if image.recovered else [],
    )
    return [HEADER, *image.chunks, *image.registers.values(), incarnations, *recovered]


def rewrite_journal(data: bytes) -> bytes:
    """Return the journal that an acceptor of duties writes after it has restored this one; both at time 0."""
    image = journal.read_journal(data, HEADER)
    acceptor = DutyAcceptor("n1", 7, lambda key: ("n1",), store=chunks.ChunkStore(1 << 20))
    acceptor.restore(0, image)
    return encode_journal([HEADER, *acceptor.all_records(0)])


def open_journals(path: Path) -> tuple[int, bool]:
    """Start an incarnation in a folder; return its number and whether the previous journal was read."""
    opened = open_folder(path, HEADER, 3)
    opened.folder.close()
    return opened.incarnation, opened.image is not None


def decode_ledger(data: bytes) -> Any:
    return ledger_codec.decode_ledger(data, {"n1": "a", "n2": "b"})


def encoded_ledger(counts: list[Any], now_ms: int, later_counts: list[Any]) -> bytes:
    """Return a ledger whose buckets were closed between two lists of counts, with an imported history."""
    ledger = Ledger({"n1": "a", "n2": "b"})
    for bucket in counts:
        ledger.record(msgspec.convert(bucket, BucketCounts))
    ledger.close_buckets(now_ms)
    for bucket in later_counts:
        ledger.record(msgspec.convert(bucket, BucketCounts))
    ledger.import_history(encode_key("bolt", 0, "main", "a"), 998, [3, 4], 80.5, 1.5)
    return encode_ledger(ledger)


class RevisionStore:
    """The store of customers' revisions without its thread."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._store = Store(None, path, None, lambda name: None)  # type: ignore[arg-type]

    def read(self) -> list[Any]:
        return self._store.open()

    def write(self, revisions: dict[str, Any]) -> None:
        self._store._write_all(revisions)

    def close(self) -> None:
        self._store._disconnect()


CONSTANTS: dict[str, Any] = {
    "version of a journal": journal.JOURNAL_VERSION,
    "kinds of duties": [duty_report.KIND, publisher.KIND, forecaster.KIND],
    "names of duties": [publisher.duty_of("acme"), forecaster.NAME],
    "registers": [lease_record.register_key("alive").decode(), schedule.KEY.decode()],
    "digest of seats": Placement((Seat("n1", ("h", 1), "a", "r1"), Seat("n2", ("h", 2), "b")), 3).digest(),
    "digest of a piece": chunks.digest(b"piece").hex(),
    "lives of a duty": [status.value for status in lease_record.LeaseStatus],
    "ways to settle an intent": [resolution.value for resolution in lease_record.IntentResolution],
    "stages of a turn": [stage.value for stage in schedule.SlotStage],
    "ends of a turn": [proof.value for proof in schedule.CompletionProof],
    "outcomes of an ask": [outcome.value for outcome in schedule.SlotOutcome],
    "demand's keys": encode_key("acme", 3, "main", "a"),
}


# ---- journals ----


def test_the_bytes_of_each_record_of_a_journal_are_unchanged() -> None:
    """Compares the encoded samples of each type of record, which `decode_record` reads without the 12 bytes of its
    length and checksum.
    """

    def encode(record: Any) -> bytes:
        return encode_journal([record])

    forms = [form_and_samples(kind, encode, lambda data: decode_record(data[12:])) for kind in RECORD_TYPES]
    by_tag = {form["form"]["tag"]: form for form in sorted(forms, key=lambda form: str(form["form"]["tag"]))}
    assert_golden("stored_journal_records", by_tag)


def test_a_journal_is_read_and_rewritten_with_the_same_bytes() -> None:
    records = [HEADER]
    for variant in range(3):
        samples = SampleFactory(variant)
        records += [samples.make(kind, all_fields=True) for kind in RECORD_TYPES if kind is not type(HEADER)]
    data = encode_journal(records)
    reencoded = encode_journal(records_of(data))
    rewritten = rewrite_journal(reencoded)
    assert_golden(
        "stored_journal",
        {"file": data.hex(), "again": reencoded.hex(), "by a keeper": rewritten.hex()},
    )
    stored = {name: bytes.fromhex(text) for name, text in read_golden("stored_journal").items()}
    assert (
        encode_journal(records_of(stored["file"]))
        == encode_journal(records_of(stored["again"]))
        == stored["again"]
    )
    assert rewrite_journal(stored["again"]) == stored["by a keeper"]


def test_the_files_in_a_folder_of_journals_are_unchanged(tmp_path: Path) -> None:
    (tmp_path / "4.log").write_bytes(bytes.fromhex(read_golden("stored_journal")["again"]))
    incarnation, has_image = open_journals(tmp_path)
    files = {path.name: path.read_bytes().hex() for path in sorted(tmp_path.iterdir())}
    assert_golden("stored_folder", {"incarnation": incarnation, "recalled": has_image, "files": files})


# ---- registers and states of duties ----


def test_the_bytes_of_registers_and_states_of_duties_are_unchanged() -> None:
    values = {
        "duty": form_and_samples(LeaseRecord, encode_lease, decode_lease),
        "outages": form_and_samples(Schedule, encode_schedule, decode_schedule),
        "revisions of a customer": form_and_samples(History, encode_history, decode_history),
        "reports": form_and_samples(Heartbeats, encode_json, decode_heartbeats),
    }
    assert_golden("stored_values", values)
    for name, encode, decode in (
        ("duty", encode_lease, decode_lease),
        ("outages", encode_schedule, decode_schedule),
        ("revisions of a customer", encode_history, decode_history),
        ("reports", encode_json, decode_heartbeats),
    ):
        for sample in read_golden("stored_values")[name]["samples"]:
            value: Any = decode(bytes.fromhex(sample))
            assert encode(value) == bytes.fromhex(sample)


def test_constants_and_names_in_stored_data_are_unchanged() -> None:
    assert_golden("stored_figures", CONSTANTS)


# ---- the forecast's ledger ----

COUNTS = [
    ["n1", 11, "a", 12000, 3600000000, 3600300000, {'["acme",3,"main","a"]': [7, 1, 6, 5000, 7.5]}],
    ["n2", 12, "b", 12000, 3600000000, 3600300000, {'["acme",3,"main","b"]': [2, 0, 2, 900, 2.0]}],
    ["n1", 11, "a", 12011, 3603300000, 3603600000, {'["acme",3,"main","a"]': [5, 0, 5, 4000, 5.0]}],
]
CLOSED_AT_MS = 3605400000
LATER_COUNTS = [
    ["n2", 12, "b", 12011, 3603300000, 3603600000, {'["acme",3,"main","b"]': [9, 0, 9, 9, 9.0]}],
    ["n2", 12, "b", 12018, 3605400000, 3605800000, {}],
    ["n1", 11, "a", 12018, 3605400000, 3605500000, {'["",0,"",""]': [1, 1, 0, 0, 0.5]}],
]


def decompress_ledger(state: bytes) -> Any:
    """Return the ledger with the hours in hexadecimal digits, since their compressed size depends on zlib's version."""
    series, *fields = msgspec.msgpack.decode(state)
    decompressed = {
        name: [first, zlib.decompress(data).hex(), *rest] for name, (first, data, *rest) in series.items()
    }
    return [decompressed, *fields]


def compress_ledger(decompressed: Any) -> bytes:
    series, *fields = decompressed
    compressed = {
        name: [first, zlib.compress(bytes.fromhex(data), 6), *rest]
        for name, (first, data, *rest) in series.items()
    }
    return msgspec.msgpack.encode([compressed, *fields])


def test_the_forecasts_ledger_is_read_and_written_with_the_same_bytes() -> None:
    state = encoded_ledger(COUNTS, CLOSED_AT_MS, LATER_COUNTS)
    assert_golden("stored_ledger", decompress_ledger(state))
    assert encode_ledger(decode_ledger(compress_ledger(read_golden("stored_ledger")))) == state


def test_the_forms_of_demand_counts_and_hints_are_unchanged() -> None:
    decode = msgspec.json.Decoder(ScalingHints).decode
    forms = {
        "hints": form_and_samples(ScalingHints, encode_json, decode),
        "counts": encoded_form(BucketCounts),
    }
    assert_golden("stored_hints", forms)
    assert_golden(
        "stored_hints_json",
        [encode_json(sample).decode() for sample in (SampleFactory(0).make(ScalingHints, True),)],
    )


# ---- learned state of the servers ----

LEARNED_STATE = {
    "donor": "n1",
    "condition": "slow",
    "up_s": 12.5,
    "age_s": 0.5,
    "servers": [
        {
            "name": "s1",
            "short_us": 1.5,
            "long_us": 2.5,
            "spread_us": 3.5,
            "samples": 4,
            "answered": 0.5,
            "limit": 6.5,
            "out": True,
            "ejections": 7,
            "first_seen_s": 8.5,
            "last_seen_s": 9.5,
        },
        {"name": "s2"},
    ],
}


def test_a_snapshot_of_learned_state_is_read_and_written_with_the_same_bytes() -> None:
    encoded = encode_snapshot(msgspec.convert(LEARNED_STATE, LearnedState)).hex()
    minimal = encode_snapshot(msgspec.convert({"donor": "n1"}, LearnedState)).hex()
    assert_golden(
        "stored_knowledge", {"form": encoded_form(LearnedState), "written": encoded, "bare": minimal}
    )
    decoded = decode_snapshot(bytes.fromhex(read_golden("stored_knowledge")["written"]))
    assert (
        json.loads(msgspec.json.encode(decoded)) == LEARNED_STATE
        and encode_snapshot(decoded).hex() == encoded
    )


# ---- customers' revisions on this runner's disk ----

REVISIONS: dict[str, Any] = {"acme": ((3, 7), b'{"default":"main"}'), "bolt": ((4, 8), None)}


def dump(path: Path) -> dict[str, Any]:
    """Return the statements that created the tables, and the rows."""
    db = sqlite3.connect(path)
    tables = [sql for (sql,) in db.execute("select sql from sqlite_master where sql is not null")]
    rows = [
        [*row, draft and draft.hex()] for *row, draft in db.execute("select * from had order by customer")
    ]
    db.close()
    return {"tables": tables, "rows": rows}


def restore(path: Path, dumped: dict[str, Any]) -> None:
    db = sqlite3.connect(path)
    for sql in dumped["tables"]:
        db.execute(sql)
    for *row, draft in dumped["rows"]:
        db.execute("insert into had values (?, ?, ?, ?)", (*row, draft and bytes.fromhex(draft)))
    db.commit()
    db.close()


def test_the_tables_of_a_store_of_revisions_are_unchanged(tmp_path: Path) -> None:
    store = RevisionStore(tmp_path / "written.sqlite")
    store.write(REVISIONS)
    store.close()
    assert_golden("stored_revisions", dump(store.path))


@pytest.mark.parametrize("is_later", [False, True])
def test_a_store_of_revisions_from_another_build_is_read(tmp_path: Path, is_later: bool) -> None:
    """A later revision replaces the stored one; an earlier revision does not."""
    path = tmp_path / "before.sqlite"
    restore(path, read_golden("stored_revisions"))
    store = RevisionStore(path)
    assert store.read() == [
        (customer, revision_id, draft) for customer, (revision_id, draft) in REVISIONS.items()
    ]
    store.write({"acme": ((3, 9 if is_later else 6), b"{}")})
    stored = {customer: (revision_id, draft) for customer, revision_id, draft in store.read()}
    store.close()
    assert stored["acme"] == (((3, 9), b"{}") if is_later else REVISIONS["acme"])
