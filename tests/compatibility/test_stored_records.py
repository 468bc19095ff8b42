"""What a runner has written down, or has a majority keep, and what a later build of it must read.

Guards against stored data that a renamed build reads differently or not at all: it would begin without its journal
(`is not used, and is kept`), without customers' rules (`can't be read, and is put aside`), or cold; and an earlier
build that takes its seat back would not read what this one has written.
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

from .forms import Samples, form, told
from .golden import assert_golden, read_golden

# ---- the names of the program, once ----

RECORDS = get_args(journal.Record)
WHOSE = journal.JournalHeader(journal.JOURNAL_VERSION, "f", "0123456789abcdef", "n1")
POST, ROSTER, BOOK = lease_record.LeaseRecord, schedule.Schedule, revision_history.RevisionHistory
pack_post, read_post = lease_record.encode_record, lease_record.decode_record
pack_roster, read_roster = schedule.encode_schedule, schedule.decode_schedule
pack_book = revision_history.encode_history
pack_file, read_record = journal.encode_records, journal._decoder.decode
REPORTS, read_reports = duty_report.HeartbeatState, msgspec.json.Decoder(duty_report.HeartbeatState).decode
write_json = msgspec.json.Encoder().encode
write_snapshot, read_snapshot = snapshot.encode_snapshot, snapshot.decode_snapshot
HINTS, COUNTS_OF_DEMAND = scaling_hints.ScalingHints, demand_counts.BucketCounts
Ledger, pack_ledger = demand_ledger.DemandLedger, ledger_codec.encode_ledger


def pack_key(customer: str, incarnation: int, route: str, zone: str) -> str:
    return demand_counts.encode_key(demand_counts.RouteKey(customer, incarnation, route, zone))


def read_book(data: bytes) -> Any:
    return revision_history.decode_history(data, "w1")


def records_of(data: bytes) -> list[Any]:
    """As they are told to a process that begins, in the order of a file that is written anew."""
    image = journal.read_journal(data, WHOSE)
    heard, remembers = (
        journal.IncarnationsRecord(image.incarnations),
        [journal.RecoveredRecord()] if image.recovered else [],
    )
    return [WHOSE, *image.chunks, *image.registers.values(), heard, *remembers]


def written_anew(data: bytes) -> bytes:
    """By a keeper of duties that has recalled it, at the same moment."""
    image = journal.read_journal(data, WHOSE)
    keeper = DutyAcceptor("n1", 7, lambda key: ("n1",), store=chunks.ChunkStore(1 << 20))
    keeper.restore(0, image)
    return pack_file([WHOSE, *keeper.all_records(0)])


def folder_of(path: Path) -> tuple[int, bool]:
    """A life begins there: its incarnation, and whether the last one is recalled."""
    found = open_folder(path, WHOSE, 3)
    found.folder.close()
    return found.incarnation, found.image is not None


def read_ledger(data: bytes) -> Any:
    return ledger_codec.decode_ledger(data, {"n1": "a", "n2": "b"})


def counted(parts: list[Any], now_ms: int, more: list[Any]) -> bytes:
    """Closed at that moment, with more that comes afterwards, and with an hour that was counted elsewhere."""
    ledger = Ledger({"n1": "a", "n2": "b"})
    for part in parts:
        ledger.record(msgspec.convert(part, COUNTS_OF_DEMAND))
    ledger.close_buckets(now_ms)
    for part in more:
        ledger.record(msgspec.convert(part, COUNTS_OF_DEMAND))
    ledger.import_history(pack_key("bolt", 0, "main", "a"), 998, [3, 4], 80.5, 1.5)
    return pack_ledger(ledger)


class Stored:
    """Customers' revisions in a file, without the thread."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._store = Store(None, path, None, lambda name: None)  # type: ignore[arg-type]

    def read(self) -> list[Any]:
        return self._store.open()

    def write(self, had: dict[str, Any]) -> None:
        self._store._write_all(had)

    def close(self) -> None:
        self._store._disconnect()


FIGURES: dict[str, Any] = {
    "version of a journal": journal.JOURNAL_VERSION,
    "kinds of duties": [duty_report.KIND, publisher.KIND, forecaster.KIND],
    "names of duties": [publisher.duty_of("acme"), forecaster.NAME],
    "registers": [lease_record.register_key("alive").decode(), schedule.KEY.decode()],
    "digest of seats": Placement((Seat("n1", ("h", 1), "a", "r1"), Seat("n2", ("h", 2), "b")), 3).digest(),
    "digest of a piece": chunks.digest(b"piece").hex(),
    "lives of a duty": [one.value for one in lease_record.LeaseStatus],
    "ways to settle an intent": [one.value for one in lease_record.IntentResolution],
    "stages of a turn": [one.value for one in schedule.SlotStage],
    "ends of a turn": [one.value for one in schedule.CompletionProof],
    "outcomes of an ask": [one.value for one in schedule.SlotOutcome],
    "demand's keys": pack_key("acme", 3, "main", "a"),
}


# ---- journals ----


def test_each_record_of_a_journal_has_the_same_bytes() -> None:
    """After its length and its checksum."""

    def write(record: Any) -> bytes:
        return pack_file([record])

    forms = [told(kind, write, lambda data: read_record(data[12:])) for kind in RECORDS]
    by_tag = {one["form"]["tag"]: one for one in sorted(forms, key=lambda one: str(one["form"]["tag"]))}
    assert_golden("stored_journal_records", by_tag)


def test_a_whole_journal_is_read_and_written_as_it_was() -> None:
    records = [WHOSE]
    for variant in range(3):
        samples = Samples(variant)
        records += [samples.of(kind, whole=True) for kind in RECORDS if kind is not type(WHOSE)]
    data = pack_file(records)
    again = pack_file(records_of(data))
    anew = written_anew(again)
    assert_golden("stored_journal", {"file": data.hex(), "again": again.hex(), "by a keeper": anew.hex()})
    kept = {name: bytes.fromhex(text) for name, text in read_golden("stored_journal").items()}
    assert pack_file(records_of(kept["file"])) == pack_file(records_of(kept["again"])) == kept["again"]
    assert written_anew(kept["again"]) == kept["by a keeper"]


def test_a_folder_of_journals_has_the_same_files(tmp_path: Path) -> None:
    (tmp_path / "4.log").write_bytes(bytes.fromhex(read_golden("stored_journal")["again"]))
    inc, recalled = folder_of(tmp_path)
    files = {path.name: path.read_bytes().hex() for path in sorted(tmp_path.iterdir())}
    assert_golden("stored_folder", {"incarnation": inc, "recalled": recalled, "files": files})


# ---- values that a majority keeps ----


def test_values_of_registers_and_states_of_duties_have_the_same_bytes() -> None:
    values = {
        "duty": told(POST, pack_post, read_post),
        "outages": told(ROSTER, pack_roster, read_roster),
        "revisions of a customer": told(BOOK, pack_book, read_book),
        "reports": told(REPORTS, write_json, read_reports),
    }
    assert_golden("stored_values", values)
    for name, write, read in (
        ("duty", pack_post, read_post),
        ("outages", pack_roster, read_roster),
        ("revisions of a customer", pack_book, read_book),
        ("reports", write_json, read_reports),
    ):
        for sample in read_golden("stored_values")[name]["samples"]:
            value: Any = read(bytes.fromhex(sample))
            assert write(value) == bytes.fromhex(sample)


def test_figures_and_names_in_what_is_stored_are_the_same() -> None:
    assert_golden("stored_figures", FIGURES)


# ---- the forecast's ledger ----

PARTS = [
    ["n1", 11, "a", 12000, 3600000000, 3600300000, {'["acme",3,"main","a"]': [7, 1, 6, 5000, 7.5]}],
    ["n2", 12, "b", 12000, 3600000000, 3600300000, {'["acme",3,"main","b"]': [2, 0, 2, 900, 2.0]}],
    ["n1", 11, "a", 12011, 3603300000, 3603600000, {'["acme",3,"main","a"]': [5, 0, 5, 4000, 5.0]}],
]
CLOSED_AT_MS = 3605400000
LATER_PARTS = [
    ["n2", 12, "b", 12011, 3603300000, 3603600000, {'["acme",3,"main","b"]': [9, 0, 9, 9, 9.0]}],
    ["n2", 12, "b", 12018, 3605400000, 3605800000, {}],
    ["n1", 11, "a", 12018, 3605400000, 3605500000, {'["",0,"",""]': [1, 1, 0, 0, 0.5]}],
]


def unpacked(state: bytes) -> Any:
    """With hours in hexadecimal digits: how well they are packed is not the program's doing."""
    series, *more = msgspec.msgpack.decode(state)
    plain = {
        name: [first, zlib.decompress(data).hex(), *rest] for name, (first, data, *rest) in series.items()
    }
    return [plain, *more]


def packed(plain: Any) -> bytes:
    series, *more = plain
    hours = {
        name: [first, zlib.compress(bytes.fromhex(data), 6), *rest]
        for name, (first, data, *rest) in series.items()
    }
    return msgspec.msgpack.encode([hours, *more])


def test_the_forecasts_ledger_is_read_and_written_as_it_was() -> None:
    state = counted(PARTS, CLOSED_AT_MS, LATER_PARTS)
    assert_golden("stored_ledger", unpacked(state))
    assert pack_ledger(read_ledger(packed(read_golden("stored_ledger")))) == state


def test_demand_and_hints_have_the_same_form() -> None:
    decode = msgspec.json.Decoder(HINTS).decode
    forms = {"hints": told(HINTS, write_json, decode), "counts": form(COUNTS_OF_DEMAND)}
    assert_golden("stored_hints", forms)
    assert_golden("stored_hints_json", [write_json(one).decode() for one in (Samples(0).of(HINTS, True),)])


# ---- knowledge of the tier ----

KNOWN = {
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


def test_a_snapshot_of_what_is_known_is_read_and_written_as_it_was() -> None:
    written = write_snapshot(msgspec.convert(KNOWN, LearnedState)).hex()
    bare = write_snapshot(msgspec.convert({"donor": "n1"}, LearnedState)).hex()
    assert_golden("stored_knowledge", {"form": form(LearnedState), "written": written, "bare": bare})
    read = read_snapshot(bytes.fromhex(read_golden("stored_knowledge")["written"]))
    assert json.loads(msgspec.json.encode(read)) == KNOWN and write_snapshot(read).hex() == written


# ---- customers' revisions on this runner's disk ----

REVISIONS: dict[str, Any] = {"acme": ((3, 7), b'{"default":"main"}'), "bolt": ((4, 8), None)}


def dump(path: Path) -> dict[str, Any]:
    """The tables as they were made, and the rows."""
    db = sqlite3.connect(path)
    tables = [sql for (sql,) in db.execute("select sql from sqlite_master where sql is not null")]
    rows = [
        [*row, draft and draft.hex()] for *row, draft in db.execute("select * from had order by customer")
    ]
    db.close()
    return {"tables": tables, "rows": rows}


def restore(path: Path, told: dict[str, Any]) -> None:
    db = sqlite3.connect(path)
    for sql in told["tables"]:
        db.execute(sql)
    for *row, draft in told["rows"]:
        db.execute("insert into had values (?, ?, ?, ?)", (*row, draft and bytes.fromhex(draft)))
    db.commit()
    db.close()


def test_a_store_of_revisions_has_the_same_tables(tmp_path: Path) -> None:
    stored = Stored(tmp_path / "written.sqlite")
    stored.write(REVISIONS)
    stored.close()
    assert_golden("stored_revisions", dump(stored.path))


@pytest.mark.parametrize("later", [False, True])
def test_a_store_of_revisions_that_was_written_before_is_read(tmp_path: Path, later: bool) -> None:
    path = tmp_path / "before.sqlite"
    restore(path, read_golden("stored_revisions"))
    stored = Stored(path)
    assert stored.read() == [(customer, at, draft) for customer, (at, draft) in REVISIONS.items()]
    stored.write({"acme": ((3, 9 if later else 6), b"{}")})
    found = {customer: (at, draft) for customer, at, draft in stored.read()}
    stored.close()
    assert found["acme"] == (((3, 9), b"{}") if later else REVISIONS["acme"])
