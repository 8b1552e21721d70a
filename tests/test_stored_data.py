"""Regression net: stored files, configuration documents, command line and public API keep their forms.

The data lie in `tests/data/stored/`: files as the code wrote them, the inputs they were written from, and the plain
values that reading them gives. `TERNLANE_WRITE_PINS=1` writes them anew; without it nothing is ever written there.
Names of internals stand only in the imports below, so that a rename changes these lines alone.
"""

from __future__ import annotations

import enum
import hashlib
import inspect
import json
import os
import re
import shutil
import subprocess
import sys
from collections.abc import Callable, Iterator
from copy import deepcopy
from dataclasses import fields, is_dataclass
from importlib import import_module
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import json5
import msgspec
import pytest

import ternlane
from ternlane.config import ConfigError as DocumentError
from ternlane.config import GatewayConfig as GatewayDocument
from ternlane.config import NodeLine
from ternlane.config import read_config as read_document
from ternlane.config import read_text as read_document_text
from ternlane.deployment import Deployment
from ternlane.discovery.endpoint_cache import CorruptCacheError as TornFile
from ternlane.discovery.endpoint_cache import read_cache as read_node_list
from ternlane.discovery.endpoint_cache import write_cache as write_node_list
from ternlane.emulator.engine_kind import EngineKind as EmulatorDocument
from ternlane.gateway.active_request import Failed as TerminatedAnswer
from ternlane.gateway.active_request import Streamed as StreamedAnswer
from ternlane.gateway.daemon import remove_pid_file as drop_process_id
from ternlane.gateway.daemon import write_pid_file as write_process_id
from ternlane.gateway.journal_writer import JOURNAL
from ternlane.gateway.journal_writer import JournalWriter as JournalKeeper
from ternlane.gateway.journal_writer import final_of as final_answer_of
from ternlane.ledger import BillingLedger as Store
from ternlane.ledger import Disk
from ternlane.ledger import SegmentedLog as Segmented
from ternlane.ledger.billing_report import bill_rows as rows_of
from ternlane.ledger.billing_report import read_entries as entries_of
from ternlane.ledger.quota_lease_file import open_quota_leases as lender_file
from ternlane.load.load_config import LoadConfig as LoadDocument
from ternlane.platform.endpoint_list import EndpointList, parse_endpoint_list
from ternlane.platform.errors import ConfigurationError
from ternlane.platform.settings import ConfigurationFile as PlatformDocument
from ternlane.platform.settings import read_configuration as read_platform_configuration
from ternlane.recovery.inflight import JournalRecord
from ternlane.rules.check import check_folder as judge_folder
from ternlane.scenarios.layout import RunLayout as DayScene
from ternlane.scenarios.report import report_of as day_report
from ternlane.scenarios.scenario import Scenario as DayDocument
from ternlane.scenarios.setup import limits_of as day_rules
from ternlane.tenants.billing import LedgerEntry as BillEntry
from ternlane.tenants.tenant_registry import TenantRegistry as Tenants
from ternlane.tenants.tenant_registry import TenantRegistryConfig as TenantsDocument
from ternlane.testing.traffic import Progress as ProgressLines
from ternlane.testing.traffic import Traffic as TrafficLines

ROOT = Path(__file__).parent.parent
STORED = Path(__file__).parent / "data" / "stored"
DOCUMENTS = STORED / "documents"
WRITE_PINS = os.environ.get("TERNLANE_WRITE_PINS") == "1"
INPUTS: dict[str, Any] = json.loads((STORED / "inputs.json").read_text())
DOCUMENT_TYPES: dict[str, Any] = {
    "gateway": GatewayDocument,
    "gateway-file": GatewayDocument,
    "gateway-consul": GatewayDocument,
    "gateway-least": GatewayDocument,
    "tenants": TenantsDocument,
    "emulator": EmulatorDocument,
    "load": LoadDocument,
    "day": DayDocument,
}
SALT, SECRET, KEY_NAME = "5a" * 16, "not-a-secret", "0a1b2c3d4e5f"
WRONG_VALUE = [[[]]]
BILL_SEGMENT_BYTES, JOURNAL_SEGMENT_BYTES = 150, 600  # small, so that snapshots are written beside the segments

# What of the public API was renamed, old -> new: whole "names" ("Name" or "module.Name"), "fields" (attributes and
# parameters, wherever they stand) and single "members" ("Name.member", by the old name). Using an old whole name must
# fail with an error that tells the new one; all else of the pinned API must be as it was.
RENAMINGS: dict[str, dict[str, str]] = json.loads((STORED / "renamed.json").read_text())
RENAMED = RENAMINGS["names"]


# -- pins


def pinned(name: str, value: Any) -> Any:
    """The pinned value of this name, and first writes it where the environment asks for it."""
    path = STORED / f"{name}.json"
    if WRITE_PINS:
        path.write_text(json.dumps(value, indent=1, ensure_ascii=False, sort_keys=True) + "\n", encoding="utf-8")
    return json.loads(path.read_text(encoding="utf-8"))


def must_be_pinned(name: str, value: Any) -> None:
    """Compares plain values, as JSON has them, with those of the pin."""
    assert json.loads(json.dumps(value)) == pinned(name, value)


def stored_file(name: str, write: Callable[[Path], None], into: Path) -> tuple[bytes, bytes]:
    """A file as written now, and as it is stored."""
    write(into / name)
    written = (into / name).read_bytes()
    if WRITE_PINS:
        (STORED / name).write_bytes(written)
    return written, (STORED / name).read_bytes()


def files_in(folder: Path) -> dict[str, bytes]:
    """Contents by file name, without the lock, which holds nothing."""
    return {p.name: p.read_bytes() for p in sorted(folder.iterdir()) if p.name != "lock"}


def stored_folder(name: str, write: Callable[[Path], None], into: Path) -> tuple[dict[str, bytes], dict[str, bytes]]:
    """The files of a folder as written now, and as they are stored."""
    write(into / name)
    written = files_in(into / name)
    if WRITE_PINS:
        shutil.rmtree(STORED / name, ignore_errors=True)
        (STORED / name).mkdir()
        for file, data in written.items():
            (STORED / name / file).write_bytes(data)
    return written, files_in(STORED / name)


def copy_of(name: str, into: Path) -> Path:
    """A copy of a stored folder, as readers may lock or mend what they read."""
    return Path(shutil.copytree(STORED / name, into / f"copy-of-{name}"))


def run(*arguments: str, cwd: Path = ROOT) -> subprocess.CompletedProcess[str]:
    """`python -m ternlane` with these arguments."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT), "COLUMNS": "200"}
    command = [sys.executable, "-m", "ternlane", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, cwd=cwd, env=environment)


def commit_each(store: Any, entries: list[Any]) -> None:
    """Keeps entries one group each in a folder of this process's own."""
    assert store.disk.lock()
    store.recover()
    for entry in entries:
        store.append(entry)
        store.commit()
    store.close()


# -- the ledger


def write_ledger(folder: Path) -> None:
    commit_each(Store(Disk(folder), BILL_SEGMENT_BYTES), [msgspec.convert(e, BillEntry) for e in INPUTS["bills"]])


def test_bills_are_written_as_they_were(tmp_path: Path) -> None:
    written, stored = stored_folder("ledger", write_ledger, tmp_path)
    assert written == stored
    assert {name[:5] for name in stored} == {"bills", "sums-"}


def test_stored_bills_are_read(tmp_path: Path) -> None:
    folder = copy_of("ledger", tmp_path)
    assert [msgspec.to_builtins(e) for e in entries_of([folder])] == INPUTS["bills"]
    must_be_pinned("ledger-rows", rows_of([folder], None, None))


def test_sums_alone_are_read_where_their_segments_were_dropped(tmp_path: Path) -> None:
    folder = copy_of("ledger", tmp_path)
    newest = max(folder.glob("*.sums"))
    for segment in folder.glob("*.seg"):
        if int(segment.stem[6:]) <= int(newest.stem[5:]):
            segment.unlink()
    assert rows_of([folder], None, None) == json.loads((STORED / "ledger-rows.json").read_text())


def test_a_torn_ledger_is_cut_back_and_goes_on(tmp_path: Path) -> None:
    folder = copy_of("ledger", tmp_path)
    last = max(folder.glob("*.seg"))
    last.write_bytes(last.read_bytes()[:-3])
    for sums in folder.glob("*.sums"):
        sums.unlink()
    store = Store(Disk(folder))
    assert store.disk.lock()
    store.recover()
    assert (store.durable_sequence, store.torn_bytes > 0) == (len(INPUTS["bills"]) - 1, True)
    store.close()


def test_the_bill_command_reads_a_stored_ledger(tmp_path: Path) -> None:
    folder = str(copy_of("ledger", tmp_path))
    must_be_pinned(
        "bill-output", {f: run("bill", "--ledger", folder, "--format", f).stdout for f in ("json", "csv", "table")}
    )


def test_stored_bills_are_reconciled_with_counts(tmp_path: Path) -> None:
    counts = tmp_path / "engine.jsonl"
    counts.write_text('{"gen": "g1", "prompt": 107, "kept": 40, "answer": 23}\n')
    found = run("bill", "--ledger", str(copy_of("ledger", tmp_path)), "reconcile", "--engines", str(counts))
    must_be_pinned("reconcile-output", [found.returncode, found.stdout])


# -- the journal


def write_journal(folder: Path) -> None:
    records = [msgspec.convert(r, JournalRecord) for r in INPUTS["journal"]]
    commit_each(Segmented(JOURNAL, Disk(folder), JOURNAL_SEGMENT_BYTES), records)


def final_values(final: Any) -> list[Any]:
    """The texts and counts of a final answer, in their order."""
    values = [getattr(final, f.name) for f in fields(final)]
    return [v for v in values if isinstance(v, (str, dict)) and not isinstance(v, enum.Enum)]


def journal_values(folder: Path) -> dict[str, Any]:
    """What a journal comes to: its records, what servers may hold, and what repeats are told at two times."""
    store = Segmented(JOURNAL, Disk(folder), keep_segments=1)
    assert store.disk.lock()
    store.recover()
    found = store.totals
    values = {
        "records": [msgspec.to_builtins(r) for r in store.entries()],
        "held": found.held(),
        "answers": {now: [msgspec.to_builtins(k) for k in found.answers(float(now))] for now in ("1500", "5150")},
        "finals": [final_values(final_answer_of(k)) for k in found.answers(1500.0)],
        "cut_off": store.torn_bytes,
    }
    store.close()
    return values


def test_the_journal_is_written_as_it_was(tmp_path: Path) -> None:
    written, stored = stored_folder("journal", write_journal, tmp_path)
    assert written == stored
    assert {name[:5] for name in stored} == {"takes", "sums-"}


def test_the_stored_journal_is_read(tmp_path: Path) -> None:
    values = journal_values(copy_of("journal", tmp_path))
    must_be_pinned("journal-values", values)
    assert [r[: len(e)] for r, e in zip(values["records"], INPUTS["journal"], strict=True)] == INPUTS["journal"]


def test_the_journal_comes_to_the_same_without_its_snapshots(tmp_path: Path) -> None:
    folder = copy_of("journal", tmp_path)
    for sums in folder.glob("*.sums"):
        sums.unlink()
    values = json.loads(json.dumps(journal_values(folder)))
    assert values == json.loads((STORED / "journal-values.json").read_text())


def test_a_torn_journal_is_cut_back(tmp_path: Path) -> None:
    folder = copy_of("journal", tmp_path)
    last = max(folder.glob("*.seg"))
    last.write_bytes(last.read_bytes()[:-3])
    values = journal_values(folder)
    assert values["records"] == json.loads((STORED / "journal-values.json").read_text())["records"][:-1]
    assert values["cut_off"] > 0


def ticket_of(effect: ternlane.Effect, final: Any) -> Any:
    """A request as the journal sees it; the names of its fields are internal and are renamed here alone."""
    request_class = ternlane.RequestClass(effect, ternlane.Group.ALL, 3000.0, 500.0, 0.0, 60.0, 2500.0, 1.0, 0.0)
    request = SimpleNamespace(request_class=request_class)
    return SimpleNamespace(
        request=request, ident="n1", repeat_key="key", body_digest=b"m", journal_id="", answer_for_repeats=lambda: final
    )


def test_the_gateways_journal_records_are_as_they_were(tmp_path: Path) -> None:
    found = {}
    for effect in ternlane.Effect:
        for final in (StreamedAnswer("all", "stop", {"prompt_tokens": 3}, None), TerminatedAnswer("lost"), None):
            keeper, records = JournalKeeper(tmp_path, None), list[Any]()
            keeper.writer.add = lambda record, records=records: records.append(record) or 7  # type: ignore[method-assign]
            active_request = ticket_of(effect, final)
            keeper.record_request(active_request)
            waits = keeper.record_attempt(active_request, "w1", "127.0.0.1:1", "chat", False, True)
            keeper.record_state_released(active_request)
            keeper.record_end(active_request, "left")
            plain_records = [msgspec.to_builtins(r) for r in records]
            first = plain_records[0]
            assert first[7] - first[6] == 3000.0  # how long a repeat is known
            first[6:] = [0, 0]  # the times of the run
            for record in plain_records:
                record[1] = re.sub(r"^[0-9a-f]+\.", "birth.", record[1])
            found[f"{effect.value} {len(found)}"] = [waits, plain_records]
    must_be_pinned("journal-records", found)


# -- single files


def write_nodes(path: Path) -> None:
    write_node_list(path, msgspec.convert(INPUTS["nodes"], list[NodeLine]))


def test_the_kept_node_list(tmp_path: Path) -> None:
    written, stored = stored_file("g1.nodes", write_nodes, tmp_path)
    assert written == stored
    assert msgspec.to_builtins(read_node_list(STORED / "g1.nodes")) == INPUTS["nodes"]
    (tmp_path / "g1.nodes").write_bytes(stored[:-1])
    with pytest.raises(TornFile):
        read_node_list(tmp_path / "g1.nodes")


def write_lender(path: Path) -> None:
    for ask in INPUTS["lending"]:
        with lender_file(path, 2, 10.0) as lender:
            lender.ask(*ask)
    for draw in INPUTS["draws"]:
        with lender_file(path, 2, 10.0) as lender:
            lender.draw(*draw)


def test_the_lenders_file(tmp_path: Path) -> None:
    written, stored = stored_file("lender.json", write_lender, tmp_path)
    assert written == stored
    shutil.copy(STORED / "lender.json", tmp_path / "again.json")
    with lender_file(tmp_path / "again.json", 2, 10.0) as lender:
        got = lender.ask(*INPUTS["lending_again"])
        drawn = lender.draw(*INPUTS["draws"][0])
    must_be_pinned(
        "lender-values", {"got": got, "drawn": drawn, "table": json.loads((tmp_path / "again.json").read_text())}
    )


def write_tenants(path: Path) -> None:
    """By the operators' commands, with a fixed key put in, as new ones are drawn at random."""
    at = ("--file", str(path))
    assert run("tenant", "add", "noto", "--zone", "Europe/Rome", "--period", "day", *at).returncode == 0
    document = json.loads(path.read_text())
    hashed = hashlib.sha256(bytes.fromhex(SALT) + SECRET.encode()).hexdigest()
    document["tenants"][0]["keys"] = [{"name": KEY_NAME, "salt": SALT, "hash": hashed}]
    path.write_text(json.dumps(document))
    limits = (
        "--minute",
        "1000",
        "--burst",
        "4000",
        "--per-period",
        "90000",
        "--at-once",
        "4",
        "--overdraft",
        "5",
        "--cut",
    )
    assert run("tenant", "budget", "set", "noto", *limits, *at).returncode == 0
    assert run("tenant", "budget", "set", "noto", "--product", "summary", "--minute", "70", *at).returncode == 0


def test_the_tenants_file(tmp_path: Path) -> None:
    written, stored = stored_file("tenants.json5", write_tenants, tmp_path)
    assert written == stored
    document = read_document(STORED / "tenants.json5", TenantsDocument)
    must_be_pinned("tenants-values", msgspec.to_builtins(document))
    owner = Tenants(document).authenticate(f"Bearer tl-{KEY_NAME}-{SECRET}", 0.0)
    assert owner.name == "noto"
    must_be_pinned("tenants-show", run("tenant", "show", "--file", str(STORED / "tenants.json5")).stdout)


def test_a_revoked_key_is_written_as_it_was(tmp_path: Path) -> None:
    path = tmp_path / "tenants.json5"
    shutil.copy(STORED / "tenants.json5", path)
    assert run("tenant", "key", "revoke", f"tl-{KEY_NAME}-{SECRET}", "--file", str(path)).returncode == 0
    text = re.sub(r'"until": ?[0-9.e+]+', '"until": 0', path.read_text())  # the time of the command
    must_be_pinned("tenants-revoked", text)


def test_the_process_id_file(tmp_path: Path) -> None:
    path = tmp_path / "pid"
    write_process_id(path)
    assert path.read_text() == f"{os.getpid()}\n"
    drop_process_id(path)
    assert not path.exists()
    path.write_text("1\n")
    drop_process_id(path)
    assert path.exists()


# -- what a played day leaves


def day_run(into: Path) -> Path:
    """A copy of a played day's folder: four seconds of one prefill and one decode server, with lost answers."""
    return copy_of("day-run", into)


def test_a_stored_days_traffic_is_judged_as_it_was(tmp_path: Path) -> None:
    folder = day_run(tmp_path)
    found = run("rules", "check", str(folder), "--lines")
    must_be_pinned("day-run-judged", [found.returncode, found.stdout])


def test_a_stored_days_bills_are_reconciled(tmp_path: Path) -> None:
    folder = day_run(tmp_path)
    counts = ("--engines", str(folder / "fleet-0.jsonl"))
    found = run("bill", "--ledger", str(folder / "ledgers" / "g1"), "reconcile", *counts)
    must_be_pinned("day-run-reconciled", [found.returncode, found.stdout])


def test_a_stored_days_report_and_rules_are_made_again(tmp_path: Path) -> None:
    folder = day_run(tmp_path)
    day = read_document(folder / "day.json5", DayDocument)
    assert json.dumps(day_rules(day)) == (folder / "rules.json").read_text()
    report = msgspec.json.encode(day_report(folder, day, judge_folder(folder)))
    assert json.loads(report) == json.loads((folder / "report.json").read_text())


def test_a_days_scene_is_read_and_written_as_it_was(tmp_path: Path) -> None:
    folder = day_run(tmp_path)
    before = (folder / "scene.json").read_bytes()
    DayScene.load(folder).save()
    assert (folder / "scene.json").read_bytes() == before


def test_traffic_and_progress_lines_are_written_as_they_were(tmp_path: Path) -> None:
    traffic, progress = TrafficLines(tmp_path / "traffic.jsonl"), ProgressLines(tmp_path / "progress")
    traffic.line("leg", id="w1", gen="n1", n=1)
    traffic.close()
    progress.add({"asked": 3})
    progress.close()
    masked = re.sub(rb'"t":[0-9.]+', b'"t":0', (tmp_path / "traffic.jsonl").read_bytes())
    assert masked == b'{"k":"leg","t":0,"id":"w1","gen":"n1","n":1}\n'
    assert (tmp_path / "progress").read_bytes() == b'{"asked":3}\n'


# -- documents


def plain(value: Any) -> Any:
    """JSON values of settings objects by the pinned names: their fields, and the members of enumerations."""
    if isinstance(value, enum.Enum):
        return old_member_of(value)
    if is_dataclass(value) and not isinstance(value, type):
        return {old_field_of(f.name): plain(getattr(value, f.name)) for f in fields(value)}
    if isinstance(value, (list, tuple)):
        return [plain(v) for v in value]
    if isinstance(value, dict):
        return {str(k): plain(v) for k, v in value.items()}
    return msgspec.to_builtins(value)


def old_field_of(new: str) -> str:
    return next((old for old, now in RENAMINGS["fields"].items() if now == new), new)


def old_member_of(member: enum.Enum) -> str:
    """The pinned name of a member: "READ" for the one that is called PREFILL now."""
    owner = old_name_of(type(member).__name__)
    renamed = {now: old.rpartition(".")[2] for old, now in RENAMINGS["members"].items() if old.startswith(f"{owner}.")}
    return renamed.get(member.name, member.name)


def default_of(field: msgspec.inspect.Field) -> Any:
    """The default of a key as JSON, or "(required)"."""
    if isinstance(field.default, msgspec.Raw):
        return json.loads(bytes(field.default))
    if field.default is not msgspec.NODEFAULT:
        return msgspec.to_builtins(field.default)
    return "(required)" if field.required else plain(field.default_factory())  # type: ignore[operator]


def keys_of(kind: Any, path: str) -> Iterator[tuple[str, Any]]:
    """Every key that a document of this type accepts, nested ones too, with its default."""
    if isinstance(kind, msgspec.inspect.StructType):
        if kind.tag is not None:
            path = f"{path}({kind.tag_field}={kind.tag})"
        for field in kind.fields:
            here = f"{path}.{field.encode_name}"
            yield here, default_of(field)
            yield from keys_of(field.type, here)
    elif isinstance(kind, msgspec.inspect.UnionType):
        for one in kind.types:
            yield from keys_of(one, path)
    elif isinstance(kind, msgspec.inspect.ListType):
        yield from keys_of(kind.item_type, f"{path}[]")
    elif isinstance(kind, msgspec.inspect.DictType):
        yield from keys_of(kind.value_type, f"{path}.*")
    elif isinstance(kind, msgspec.inspect.LiteralType):
        yield f"{path}=", sorted(map(str, kind.values))


def example(name: str) -> Any:
    return json5.loads((DOCUMENTS / f"{name}.json5").read_text())


def keys_in(value: Any) -> set[str]:
    """The names of all keys in a document, at any depth."""
    if isinstance(value, dict):
        return set(value) | {k for v in value.values() for k in keys_in(v)}
    return {k for v in value for k in keys_in(v)} if isinstance(value, list) else set()


def places_in(value: Any, way: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """The way to each key in a document."""
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for step, deeper in inner:
        if isinstance(value, dict):
            yield (*way, step)
        yield from places_in(deeper, (*way, step))


def with_value(document: Any, way: tuple[Any, ...], value: Any) -> Any:
    """A copy of the document with another value at one place."""
    changed = deepcopy(document)
    inner = changed
    for step in way[:-1]:
        inner = inner[step]
    inner[way[-1]] = value
    return changed


def refusal_of(document: Any, kind: Any) -> str:
    """The field that the refusal of a document names."""
    with pytest.raises(DocumentError) as refused:
        read_document_text(json.dumps(document), kind, "document")
    assert refused.value.field in str(refused.value)
    return refused.value.field


@pytest.mark.parametrize("name", ["gateway", "tenants", "emulator", "load", "day"])
def test_documents_keep_their_keys_and_defaults(name: str) -> None:
    must_be_pinned(f"keys-{name}", dict(keys_of(msgspec.inspect.type_info(DOCUMENT_TYPES[name]), "$")))


@pytest.mark.parametrize("name", DOCUMENT_TYPES)
def test_documents_load_to_the_same_values(name: str) -> None:
    must_be_pinned(
        f"document-{name}", msgspec.to_builtins(read_document(DOCUMENTS / f"{name}.json5", DOCUMENT_TYPES[name]))
    )


@pytest.mark.parametrize("name", ["gateway", "tenants", "emulator", "load", "day"])
def test_the_full_documents_hold_every_key(name: str) -> None:
    texts = ["gateway", "gateway-file", "gateway-consul"] if name == "gateway" else [name]
    if name == "day":  # its products and terms are those of the gateway's document, and its budget a tenant's
        texts += ["gateway", "tenants"]
    there = {k for text in texts for k in keys_in(example(text))}
    kinds = msgspec.inspect.type_info(DOCUMENT_TYPES[name])
    known = {path.rsplit(".", 1)[1] for path, _ in keys_of(kinds, "$") if not path.endswith("=")}
    assert known <= there


@pytest.mark.parametrize("name", DOCUMENT_TYPES)
def test_a_wrong_value_is_refused_by_its_key(name: str) -> None:
    document, kind = example(name), DOCUMENT_TYPES[name]
    found = {
        "/".join(map(str, way)): refusal_of(with_value(document, way, WRONG_VALUE), kind) for way in places_in(document)
    }
    must_be_pinned(f"refusals-{name}", found)


@pytest.mark.parametrize("name", DOCUMENT_TYPES)
def test_an_unknown_key_is_refused_by_its_name(name: str) -> None:
    assert refusal_of(example(name) | {"misspelt": 1}, DOCUMENT_TYPES[name]) == "$.misspelt"


def test_the_days_of_the_repository_load() -> None:
    days = {p.name: msgspec.to_builtins(read_document(p, DayDocument)) for p in sorted((ROOT / "days").glob("*.json5"))}
    must_be_pinned("days", days)


def test_the_engines_of_the_examples_load() -> None:
    paths = sorted((ROOT / "examples" / "engines").glob("*.json5"))
    must_be_pinned("engines", {p.name: msgspec.to_builtins(read_document(p, EmulatorDocument)) for p in paths})


# -- the platform's configuration


class Asked(dict[str, Any]):
    """Settings that note the way to each key that is asked for."""

    def __init__(self, told: dict[str, Any], path: str, noted: set[str]) -> None:
        super().__init__({k: self.wrapped(v, f"{path}.{k}", noted) for k, v in told.items()})
        self.path, self.noted = path, noted

    @classmethod
    def wrapped(cls, value: Any, path: str, noted: set[str]) -> Any:
        if isinstance(value, dict):
            return cls(value, path, noted)
        return [cls.wrapped(v, f"{path}[]", noted) for v in value] if isinstance(value, list) else value

    def get(self, key: str, default: Any = None) -> Any:
        self.noted.add(f"{self.path}.{key}")
        return super().get(key, default)

    def __getitem__(self, key: str) -> Any:
        self.noted.add(f"{self.path}.{key}")
        return super().__getitem__(key)


def platform_example() -> dict[str, Any]:
    return dict(json.loads((DOCUMENTS / "platform.json").read_text()))


def platform_values(path: Path, **environment: str) -> dict[str, Any]:
    """What a gateway of the platform makes of a configuration file."""
    post = read_platform_configuration({"NODE_CONFIG": str(path), **environment})
    deployment = post.deployment
    return {
        "place": [post.name, post.listen, post.discovery],
        "limits": msgspec.to_builtins(post.limits),
        "known": msgspec.to_builtins(post.known_endpoints),
        "facts": plain(deployment.router_config),
        "products": {k: plain(v) for k, v in deployment.request_classes.items()},
        "tenants": list(deployment.tenants),
        "servers": [plain(deployment.server(e.name, e.zone, e.type, e.group)) for e in post.known_endpoints.endpoints],
        "report": plain(deployment.report({"outstanding": 3.0, "x0": 0.25})),
    }


def test_the_platforms_configuration_keeps_its_keys() -> None:
    asked: set[str] = set()
    Deployment(1, Asked(platform_example()["settings"], "$.settings", asked))
    file = dict(keys_of(msgspec.inspect.type_info(PlatformDocument), "$"))
    known = dict(keys_of(msgspec.inspect.type_info(EndpointList), "$.known"))
    must_be_pinned("keys-platform", {"file": file, "known": known, "settings": sorted(asked)})


def test_the_platforms_full_configuration_holds_every_key() -> None:
    pins = json.loads((STORED / "keys-platform.json").read_text())
    known = {path.rsplit(".", 1)[1] for part in pins.values() for path in part}
    assert known <= keys_in(platform_example())


def test_the_platforms_configuration_loads_to_the_same_values(tmp_path: Path) -> None:
    least = tmp_path / "least.json"
    settings = {"profiles": [{"name": "summary", "aim": 500.0, "deadline": 2000.0}]}
    least.write_text(json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings}))
    named = {"NODE_NAME": "n9", "NODE_LISTEN": "[::1]:81", "NODE_DISCOVERY": "127.0.0.1:82"}
    full = DOCUMENTS / "platform.json"
    values = {"full": platform_values(full), "least": platform_values(least), "named": platform_values(full, **named)}
    must_be_pinned("document-platform", values)


def platform_refusal(document: dict[str, Any], path: Path) -> str:
    """Which key the refusal of a configuration names: as `$.a.b`, or in brackets; "" where none is refused or named."""
    path.write_text(json.dumps(document))
    try:
        read_platform_configuration({"NODE_CONFIG": str(path)})
    except ConfigurationError as why:
        found = re.search(r"`(\$[^`]*)`|\((\w\w+)\)|: (listen|discovery|limits)\b|^(listen|discovery) ", str(why))
        return next(part for part in found.groups() if part) if found else "refused"
    return "accepted"


def test_a_wrong_value_of_the_platforms_configuration_is_refused_by_its_key(tmp_path: Path) -> None:
    document = platform_example()
    found = {
        "/".join(map(str, way)): platform_refusal(with_value(document, way, "many"), tmp_path / "file.json")
        for way in places_in(document)
    }
    must_be_pinned("refusals-platform", found)


def test_lists_of_discovery_are_read() -> None:
    raw = json.dumps(platform_example()["known"]).encode()
    must_be_pinned("listing", msgspec.to_builtins(parse_endpoint_list(raw)))


def test_the_platforms_commands_are_those_of_the_deployment_file() -> None:
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    commands = re.findall(r'^(\w+) = "exec \S+ -m (\S+)"', text, re.M)
    must_be_pinned("platform-commands", sorted(map(list, commands)))
    for _, module in commands:
        assert import_module(module).__file__
    for path in re.findall(r'"(ternlane/[^"]*)"', text):
        assert (ROOT / path).exists()


# -- the command line


def shape_of(said: str) -> dict[str, list[str]]:
    """Options, arguments and commands in a help text, without its prose."""
    usage = re.search(r"^Usage: (?:python -m )?ternlane(.*(?:\n {2,}\S.*)*)", said, re.M)
    assert usage is not None
    _, _, commands = said.partition("\nCommands:\n")
    return {
        "arguments": re.findall(r"\[?[A-Z][A-Z_]+\]?(?:\.\.\.)?", usage[1]),
        "options": sorted(
            re.findall(
                r"^  (--?[\w-]+(?:[,/ ]+-[\w-]+)*(?: (?:\[[^\]]*\]|[A-Z][A-Z_]*|<[^>]*>(?:\.\.\.)?))?)", said, re.M
            )
        ),
        "commands": sorted(re.findall(r"^  ([a-z][\w-]*)(?:  |$)", commands, re.M)),
    }


def command_line(*command: str) -> Iterator[tuple[str, dict[str, list[str]]]]:
    """The shape of a command's help and of all below it."""
    said = run(*command, "--help")
    assert said.returncode == 0, said.stderr
    shape = shape_of(said.stdout)
    yield " ".join(command), shape
    for inner in shape["commands"]:
        yield from command_line(*command, inner)


def test_the_command_line_keeps_its_names() -> None:
    found = dict(command_line())
    found["day part"] = shape_of(run("day", "part", "--help").stdout)  # hidden: a day's processes are started by it
    must_be_pinned("command-line", found)


def test_hidden_options_are_accepted() -> None:
    assert run("serve", "--chooser", "module:name", "--help").returncode == 0


def test_exit_codes_of_wrong_documents() -> None:
    good, bad = (
        run("config", "check", str(DOCUMENTS / "gateway.json5")),
        run("config", "check", str(DOCUMENTS / "day.json5")),
    )
    assert (good.returncode, bad.returncode) == (0, 65)
    assert "day.json5:" in bad.stderr


# -- the public API


def parameters_of(value: Any) -> list[str]:
    """Parameter names, with "=" where there is a default; empty where a class tells none."""
    try:
        signature = inspect.signature(value)
    except ValueError:
        return []
    return [p.name + "=" * (p.default is not p.empty) for p in signature.parameters.values() if p.name != "self"]


def api_shape(value: Any) -> dict[str, Any]:
    """The parameters of a public name, and its public attributes with their parameters."""
    if not inspect.isclass(value):
        return {"parameters": parameters_of(value)} if callable(value) else {"value": type(value).__name__}
    inherited = set(dir(Exception)) if issubclass(value, Exception) else set()
    names = sorted({n for n in (*dir(value), *named_fields(value)) if n[0] != "_"} - inherited)
    attributes = {n: parameters_of(a) if inspect.isfunction(a := getattr(value, n, None)) else None for n in names}
    if issubclass(value, enum.Enum):
        return {"attributes": attributes}
    return {"parameters": parameters_of(value), "attributes": attributes}


def named_fields(value: Any) -> list[str]:
    return [f.name for f in fields(value)] if is_dataclass(value) else []


def documented_messages() -> list[str]:
    """The events and actions that `docs/api.md` lists below their modules."""
    text = (ROOT / "docs" / "api.md").read_text()
    parts = re.findall(r"^## (?:Events|Actions), from `([\w.]+)`$(.*?)(?=^## |\Z)", text, re.M | re.S)
    return [f"{module}.{name}" for module, part in parts for name in re.findall(r"^### `(\w+)", part, re.M)]


def public_names() -> dict[str, Any]:
    """Every public name with what it stands for."""
    found = {name: getattr(ternlane, name) for name in ternlane.__all__}
    for path in documented_messages():
        module, _, name = path.rpartition(".")
        found[path] = getattr(import_module(module), name)
    return found


def old_name_of(new: str) -> str:
    return next((old for old, now in RENAMED.items() if now == new), new)


def test_the_public_api_keeps_its_names() -> None:
    shapes = {name: api_shape(value) for name, value in public_names().items()}
    pins = pinned("public-api", shapes)
    wanted = {RENAMED.get(name, name): shape for name, shape in pins.items()}
    assert set(shapes) == set(wanted)
    for name, shape in shapes.items():
        assert shape == with_new_names(old_name_of(name), wanted[name]), name


def with_new_names(owner: str, shape: dict[str, Any]) -> dict[str, Any]:
    """A pinned shape with the attributes and constructor parameters that were renamed. The router's own field of a
    server or request was public and is private now."""
    changed = dict(shape)
    if "attributes" in shape:
        changed["attributes"] = {
            attribute_now(owner, a): None if p is None else parameters_now(owner, p)
            for a, p in shape["attributes"].items()
            if not attribute_now(owner, a).startswith("_")
        }
    if "parameters" in shape:
        changed["parameters"] = parameters_now(owner, shape["parameters"])
    return changed


def parameters_now(owner: str, parameters: list[str]) -> list[str]:
    return [attribute_now(owner, p.rstrip("=")) + "=" * p.endswith("=") for p in parameters]


def attribute_now(owner: str, attribute: str) -> str:
    member = RENAMINGS["members"].get(f"{owner}.{attribute}")
    return member or RENAMINGS["fields"].get(attribute, attribute)


def test_an_old_public_name_tells_the_new_one() -> None:
    old_names = json.loads((STORED / "public-api.json").read_text())
    for old, new in RENAMED.items():
        if old in old_names:
            module, _, name = old.rpartition(".")
            with pytest.raises((AttributeError, ImportError), match=re.escape(new.rpartition(".")[2])):
                getattr(import_module(module or "ternlane"), name)


def test_an_unknown_public_name_is_refused() -> None:
    with pytest.raises(AttributeError, match="Nonesuch"):
        ternlane.Nonesuch  # noqa: B018


def test_public_errors_and_streams_keep_their_attributes() -> None:
    refused = ternlane.ConfigError("file:1", "$.name", "wrong")
    assert (refused.where, refused.field, refused.why) == ("file:1", "$.name", "wrong")
    assert str(refused) == "file:1: $.name: wrong"
    assert ternlane.RejectedError(5.0).pause_ms == 5.0
    terminated = ternlane.FailedError("lost", True)
    assert (str(terminated), terminated.begun) == ("lost", True)
    wrong = ternlane.InvalidRequestError("model", "unknown")
    assert (wrong.param, wrong.why, wrong.code, wrong.status) == ("model", "unknown", "invalid_value", 400)
    stream = ternlane.Stream()
    assert hasattr(stream, "usage") and hasattr(stream, "finish")


async def test_an_open_gateway_tells_its_address() -> None:
    document = read_document(DOCUMENTS / "gateway-least.json5", GatewayDocument)
    async with ternlane.open_gateway(document) as gateway:
        assert re.fullmatch(r"127\.0\.0\.1:\d+", gateway.address)
