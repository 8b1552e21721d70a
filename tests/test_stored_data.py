"""Compares stored files, configuration documents, the command line and the public API with recorded data.

A change of one of them breaks stored data, deployed configurations or programs that import the package. The recorded
data is in `tests/data/stored/`: files written by the code, the inputs that they were written from, and the values read
from them. It is rewritten only if TERNLANE_WRITE_PINS=1 is set.
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
from ternlane.config import ConfigError, NodeLine
from ternlane.config import GatewayConfig as GatewayDocument
from ternlane.config import read_config as read_document
from ternlane.config import read_text as read_document_text
from ternlane.deployment import Deployment
from ternlane.discovery.endpoint_cache import CorruptCacheError
from ternlane.discovery.endpoint_cache import read_cache as read_endpoint_cache
from ternlane.discovery.endpoint_cache import write_cache as write_endpoint_cache
from ternlane.emulator.engine_kind import EngineKind as EngineDocument
from ternlane.gateway.active_request import Failed as FailedAnswer
from ternlane.gateway.active_request import Streamed as StreamedAnswer
from ternlane.gateway.daemon import remove_pid_file as remove_process_id
from ternlane.gateway.daemon import write_pid_file as write_process_id
from ternlane.gateway.journal_writer import JOURNAL, JournalWriter
from ternlane.gateway.journal_writer import final_of as final_answer_of
from ternlane.ledger import BillingLedger, Disk, SegmentedLog
from ternlane.ledger.billing_report import bill_rows, read_entries
from ternlane.ledger.quota_lease_file import open_quota_leases
from ternlane.load.load_config import LoadConfig as LoadDocument
from ternlane.platform.endpoint_list import EndpointList, parse_endpoint_list
from ternlane.platform.errors import ConfigurationError
from ternlane.platform.settings import ConfigurationFile as PlatformDocument
from ternlane.platform.settings import read_configuration as read_platform_configuration
from ternlane.recovery.inflight import JournalRecord
from ternlane.rules.check import check_folder
from ternlane.scenarios.layout import RunLayout
from ternlane.scenarios.report import report_of as run_report
from ternlane.scenarios.scenario import Scenario as ScenarioDocument
from ternlane.scenarios.setup import limits_of as run_limits
from ternlane.tenants.billing import LedgerEntry
from ternlane.tenants.tenant_registry import TenantRegistry
from ternlane.tenants.tenant_registry import TenantRegistryConfig as TenantsDocument
from ternlane.testing.traffic import ProgressLog as ProgressFile
from ternlane.testing.traffic import TrafficLog as TrafficFile

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
    "emulator": EngineDocument,
    "load": LoadDocument,
    "day": ScenarioDocument,
}
SALT, SECRET, KEY_NAME = "5a" * 16, "not-a-secret", "0a1b2c3d4e5f"
WRONG_VALUE = [[[]]]
BILL_SEGMENT_BYTES, JOURNAL_SEGMENT_BYTES = 150, 600  # small, so that there are several segments and snapshots

# Renamed parts of the public API, old -> new: "names" ("Name" or "module.Name"), "fields" (attributes and parameters of
# any name) and "members" of single names ("Name.member", with the old name). Using an old name must fail with an error
# that contains the new one; the rest of the API must be as recorded.
RENAMINGS: dict[str, dict[str, str]] = json.loads((STORED / "renamed.json").read_text())
RENAMED = RENAMINGS["names"]


# -- recorded data


def recorded(name: str, value: Any) -> Any:
    """The recorded value of this name. Writes it first if TERNLANE_WRITE_PINS=1 is set."""
    path = STORED / f"{name}.json"
    if WRITE_PINS:
        path.write_text(json.dumps(value, indent=1, ensure_ascii=False, sort_keys=True) + "\n", encoding="utf-8")
    return json.loads(path.read_text(encoding="utf-8"))


def assert_as_recorded(name: str, value: Any) -> None:
    """Compares a value, converted to JSON and back, with the recorded one."""
    assert json.loads(json.dumps(value)) == recorded(name, value)


def stored_file(name: str, write: Callable[[Path], None], into: Path) -> tuple[bytes, bytes]:
    """The content of a file as written by `write`, and as recorded."""
    write(into / name)
    written = (into / name).read_bytes()
    if WRITE_PINS:
        (STORED / name).write_bytes(written)
    return written, (STORED / name).read_bytes()


def files_in(folder: Path) -> dict[str, bytes]:
    """Contents by file name, without the lock file, which is empty."""
    return {p.name: p.read_bytes() for p in sorted(folder.iterdir()) if p.name != "lock"}


def stored_folder(name: str, write: Callable[[Path], None], into: Path) -> tuple[dict[str, bytes], dict[str, bytes]]:
    """The files of a folder as written by `write`, and as recorded."""
    write(into / name)
    written = files_in(into / name)
    if WRITE_PINS:
        shutil.rmtree(STORED / name, ignore_errors=True)
        (STORED / name).mkdir()
        for file, data in written.items():
            (STORED / name / file).write_bytes(data)
    return written, files_in(STORED / name)


def copy_of(name: str, into: Path) -> Path:
    """A copy of a recorded folder, as readers may lock or repair it."""
    return Path(shutil.copytree(STORED / name, into / f"copy-of-{name}"))


def run(*arguments: str, cwd: Path = ROOT) -> subprocess.CompletedProcess[str]:
    """Runs `python -m ternlane` with these arguments."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT), "COLUMNS": "200"}
    command = [sys.executable, "-m", "ternlane", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, cwd=cwd, env=environment)


def commit_each(store: Any, entries: list[Any]) -> None:
    """Commits each entry on its own."""
    assert store.disk.lock()
    store.recover()
    for entry in entries:
        store.append(entry)
        store.commit()
    store.close()


# -- the ledger


def write_ledger(folder: Path) -> None:
    commit_each(
        BillingLedger(Disk(folder), BILL_SEGMENT_BYTES), [msgspec.convert(e, LedgerEntry) for e in INPUTS["bills"]]
    )


def test_the_ledger_is_written_as_recorded(tmp_path: Path) -> None:
    written, stored = stored_folder("ledger", write_ledger, tmp_path)
    assert written == stored
    assert {name[:5] for name in stored} == {"bills", "sums-"}


def test_the_recorded_ledger_is_read(tmp_path: Path) -> None:
    folder = copy_of("ledger", tmp_path)
    assert [msgspec.to_builtins(e) for e in read_entries([folder])] == INPUTS["bills"]
    assert_as_recorded("ledger-rows", bill_rows([folder], None, None))


def test_sums_are_read_from_snapshots_if_segments_were_removed(tmp_path: Path) -> None:
    folder = copy_of("ledger", tmp_path)
    newest = max(folder.glob("*.sums"))
    for segment in folder.glob("*.seg"):
        if int(segment.stem[6:]) <= int(newest.stem[5:]):
            segment.unlink()
    assert bill_rows([folder], None, None) == json.loads((STORED / "ledger-rows.json").read_text())


def test_a_truncated_ledger_is_recovered(tmp_path: Path) -> None:
    folder = copy_of("ledger", tmp_path)
    last = max(folder.glob("*.seg"))
    last.write_bytes(last.read_bytes()[:-3])
    for sums in folder.glob("*.sums"):
        sums.unlink()
    store = BillingLedger(Disk(folder))
    assert store.disk.lock()
    store.recover()
    assert (store.durable_sequence, store.torn_bytes > 0) == (len(INPUTS["bills"]) - 1, True)
    store.close()


def test_the_bill_command_reads_the_recorded_ledger(tmp_path: Path) -> None:
    folder = str(copy_of("ledger", tmp_path))
    assert_as_recorded(
        "bill-output", {f: run("bill", "--ledger", folder, "--format", f).stdout for f in ("json", "csv", "table")}
    )


def test_the_recorded_ledger_is_reconciled_with_counts(tmp_path: Path) -> None:
    counts = tmp_path / "engine.jsonl"
    counts.write_text('{"gen": "g1", "prompt": 107, "kept": 40, "answer": 23}\n')
    result = run("bill", "--ledger", str(copy_of("ledger", tmp_path)), "reconcile", "--engines", str(counts))
    assert_as_recorded("reconcile-output", [result.returncode, result.stdout])


# -- the journal


def write_journal(folder: Path) -> None:
    records = [msgspec.convert(r, JournalRecord) for r in INPUTS["journal"]]
    commit_each(SegmentedLog(JOURNAL, Disk(folder), JOURNAL_SEGMENT_BYTES), records)


def final_values(final: Any) -> list[Any]:
    """The texts and counts of a final answer, in the order of its fields."""
    values = [getattr(final, f.name) for f in fields(final)]
    return [v for v in values if isinstance(v, (str, dict)) and not isinstance(v, enum.Enum)]


def journal_values(folder: Path) -> dict[str, Any]:
    """The content of a journal: its records, the requests that servers may hold state of, and the answers for repeated
    requests at two times."""
    store = SegmentedLog(JOURNAL, Disk(folder), keep_segments=1)
    assert store.disk.lock()
    store.recover()
    totals = store.totals
    values = {
        "records": [msgspec.to_builtins(r) for r in store.entries()],
        "held": totals.held(),
        "answers": {now: [msgspec.to_builtins(k) for k in totals.answers(float(now))] for now in ("1500", "5150")},
        "finals": [final_values(final_answer_of(k)) for k in totals.answers(1500.0)],
        "cut_off": store.torn_bytes,
    }
    store.close()
    return values


def test_the_journal_is_written_as_recorded(tmp_path: Path) -> None:
    written, stored = stored_folder("journal", write_journal, tmp_path)
    assert written == stored
    assert {name[:5] for name in stored} == {"takes", "sums-"}


def test_the_recorded_journal_is_read(tmp_path: Path) -> None:
    values = journal_values(copy_of("journal", tmp_path))
    assert_as_recorded("journal-values", values)
    assert [r[: len(e)] for r, e in zip(values["records"], INPUTS["journal"], strict=True)] == INPUTS["journal"]


def test_the_journal_has_the_same_content_without_its_snapshots(tmp_path: Path) -> None:
    folder = copy_of("journal", tmp_path)
    for sums in folder.glob("*.sums"):
        sums.unlink()
    values = json.loads(json.dumps(journal_values(folder)))
    assert values == json.loads((STORED / "journal-values.json").read_text())


def test_a_truncated_journal_is_recovered(tmp_path: Path) -> None:
    folder = copy_of("journal", tmp_path)
    last = max(folder.glob("*.seg"))
    last.write_bytes(last.read_bytes()[:-3])
    values = journal_values(folder)
    assert values["records"] == json.loads((STORED / "journal-values.json").read_text())["records"][:-1]
    assert values["cut_off"] > 0


def fake_active_request(effect: ternlane.Effect, final: Any) -> Any:
    """The fields of an active request that the journal reads."""
    request_class = ternlane.RequestClass(effect, ternlane.Group.ALL, 3000.0, 500.0, 0.0, 60.0, 2500.0, 1.0, 0.0)
    request = SimpleNamespace(request_class=request_class)
    return SimpleNamespace(
        request=request, ident="n1", repeat_key="key", body_digest=b"m", journal_id="", answer_for_repeats=lambda: final
    )


def test_the_gateway_writes_the_recorded_journal_records(tmp_path: Path) -> None:
    result = {}
    for effect in ternlane.Effect:
        for final in (StreamedAnswer("all", "stop", {"prompt_tokens": 3}, None), FailedAnswer("lost"), None):
            journal_writer, records = JournalWriter(tmp_path, None), list[Any]()
            journal_writer.writer.add = lambda record, records=records: records.append(record) or 7  # type: ignore[method-assign]
            active_request = fake_active_request(effect, final)
            journal_writer.record_request(active_request)
            must_wait = journal_writer.record_attempt(active_request, "w1", "127.0.0.1:1", "chat", False, True)
            journal_writer.record_state_released(active_request)
            journal_writer.record_end(active_request, "left")
            plain_records = [msgspec.to_builtins(r) for r in records]
            first = plain_records[0]
            assert first[7] - first[6] == 3000.0  # how long repeated requests are recognised
            first[6:] = [0, 0]  # times differ between runs
            for record in plain_records:
                record[1] = re.sub(r"^[0-9a-f]+\.", "birth.", record[1])
            result[f"{effect.value} {len(result)}"] = [must_wait, plain_records]
    assert_as_recorded("journal-records", result)


# -- single files


def write_endpoints(path: Path) -> None:
    write_endpoint_cache(path, msgspec.convert(INPUTS["nodes"], list[NodeLine]))


def test_the_endpoint_cache_file(tmp_path: Path) -> None:
    written, stored = stored_file("g1.nodes", write_endpoints, tmp_path)
    assert written == stored
    assert msgspec.to_builtins(read_endpoint_cache(STORED / "g1.nodes")) == INPUTS["nodes"]
    (tmp_path / "g1.nodes").write_bytes(stored[:-1])
    with pytest.raises(CorruptCacheError):
        read_endpoint_cache(tmp_path / "g1.nodes")


def write_leases(path: Path) -> None:
    for lease_arguments in INPUTS["lending"]:
        with open_quota_leases(path, 2, 10.0) as leases:
            leases.lease(*lease_arguments)
    for chunk_arguments in INPUTS["draws"]:
        with open_quota_leases(path, 2, 10.0) as leases:
            leases.lease_period_chunk(*chunk_arguments)


def test_the_quota_lease_file(tmp_path: Path) -> None:
    written, stored = stored_file("lender.json", write_leases, tmp_path)
    assert written == stored
    shutil.copy(STORED / "lender.json", tmp_path / "again.json")
    with open_quota_leases(tmp_path / "again.json", 2, 10.0) as leases:
        granted = leases.lease(*INPUTS["lending_again"])
        chunk = leases.lease_period_chunk(*INPUTS["draws"][0])
    assert_as_recorded(
        "lender-values", {"got": granted, "drawn": chunk, "table": json.loads((tmp_path / "again.json").read_text())}
    )


def write_tenants(path: Path) -> None:
    """Writes the file with the commands. The key is inserted, as generated ones are random."""
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
    assert_as_recorded("tenants-values", msgspec.to_builtins(document))
    owner = TenantRegistry(document).authenticate(f"Bearer tl-{KEY_NAME}-{SECRET}", 0.0)
    assert owner.name == "noto"
    assert_as_recorded("tenants-show", run("tenant", "show", "--file", str(STORED / "tenants.json5")).stdout)


def test_a_revoked_key_is_written_as_recorded(tmp_path: Path) -> None:
    path = tmp_path / "tenants.json5"
    shutil.copy(STORED / "tenants.json5", path)
    assert run("tenant", "key", "revoke", f"tl-{KEY_NAME}-{SECRET}", "--file", str(path)).returncode == 0
    text = re.sub(r'"until": ?[0-9.e+]+', '"until": 0', path.read_text())  # depends on the time of the command
    assert_as_recorded("tenants-revoked", text)


def test_the_process_id_file(tmp_path: Path) -> None:
    path = tmp_path / "pid"
    write_process_id(path)
    assert path.read_text() == f"{os.getpid()}\n"
    remove_process_id(path)
    assert not path.exists()
    path.write_text("1\n")
    remove_process_id(path)
    assert path.exists()


# -- files of a scenario run


def recorded_run(into: Path) -> Path:
    """A copy of the folder of a recorded run: four seconds of one prefill and one decode server, with lost answers."""
    return copy_of("day-run", into)


def test_the_traffic_of_a_recorded_run_is_checked_with_the_same_result(tmp_path: Path) -> None:
    folder = recorded_run(tmp_path)
    result = run("rules", "check", str(folder), "--lines")
    assert_as_recorded("day-run-judged", [result.returncode, result.stdout])


def test_the_ledger_of_a_recorded_run_is_reconciled(tmp_path: Path) -> None:
    folder = recorded_run(tmp_path)
    counts = ("--engines", str(folder / "fleet-0.jsonl"))
    result = run("bill", "--ledger", str(folder / "ledgers" / "g1"), "reconcile", *counts)
    assert_as_recorded("day-run-reconciled", [result.returncode, result.stdout])


def test_the_report_and_limits_of_a_recorded_run_are_reproduced(tmp_path: Path) -> None:
    folder = recorded_run(tmp_path)
    scenario = read_document(folder / "day.json5", ScenarioDocument)
    assert json.dumps(run_limits(scenario)) == (folder / "rules.json").read_text()
    report = msgspec.json.encode(run_report(folder, scenario, check_folder(folder)))
    assert json.loads(report) == json.loads((folder / "report.json").read_text())


def test_the_layout_of_a_recorded_run_is_read_and_written_unchanged(tmp_path: Path) -> None:
    folder = recorded_run(tmp_path)
    before = (folder / "scene.json").read_bytes()
    RunLayout.load(folder).save()
    assert (folder / "scene.json").read_bytes() == before


def test_traffic_and_progress_lines_keep_their_format(tmp_path: Path) -> None:
    traffic, progress = TrafficFile(tmp_path / "traffic.jsonl"), ProgressFile(tmp_path / "progress")
    traffic.line("leg", id="w1", gen="n1", n=1)
    traffic.close()
    progress.add({"asked": 3})
    progress.close()
    masked = re.sub(rb'"t":[0-9.]+', b'"t":0', (tmp_path / "traffic.jsonl").read_bytes())
    assert masked == b'{"k":"leg","t":0,"id":"w1","gen":"n1","n":1}\n'
    assert (tmp_path / "progress").read_bytes() == b'{"asked":3}\n'


# -- documents


def plain(value: Any) -> Any:
    """Converts configuration objects to JSON values, with the recorded names of fields and enumeration members."""
    if isinstance(value, enum.Enum):
        return recorded_member_name(value)
    if is_dataclass(value) and not isinstance(value, type):
        return {recorded_field_name(f.name): plain(getattr(value, f.name)) for f in fields(value)}
    if isinstance(value, (list, tuple)):
        return [plain(v) for v in value]
    if isinstance(value, dict):
        return {str(k): plain(v) for k, v in value.items()}
    return msgspec.to_builtins(value)


def recorded_field_name(new: str) -> str:
    return next((old for old, now in RENAMINGS["fields"].items() if now == new), new)


def recorded_member_name(member: enum.Enum) -> str:
    """The recorded name of an enumeration member, for example "READ" for PREFILL."""
    owner = recorded_name(type(member).__name__)
    renamed = {now: old.rpartition(".")[2] for old, now in RENAMINGS["members"].items() if old.startswith(f"{owner}.")}
    return renamed.get(member.name, member.name)


def default_of(field: msgspec.inspect.Field) -> Any:
    """The default of a key as a JSON value, or "(required)"."""
    if isinstance(field.default, msgspec.Raw):
        return json.loads(bytes(field.default))
    if field.default is not msgspec.NODEFAULT:
        return msgspec.to_builtins(field.default)
    return "(required)" if field.required else plain(field.default_factory())  # type: ignore[operator]


def keys_of(kind: Any, path: str) -> Iterator[tuple[str, Any]]:
    """All keys that a document of this type accepts, including nested ones, with their defaults."""
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
    """The names of all keys in a document, including nested ones."""
    if isinstance(value, dict):
        return set(value) | {k for v in value.values() for k in keys_in(v)}
    return {k for v in value for k in keys_in(v)} if isinstance(value, list) else set()


def key_paths(value: Any, key_path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """The path of each key in a document, as a tuple of keys and indices."""
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for step, child in inner:
        if isinstance(value, dict):
            yield (*key_path, step)
        yield from key_paths(child, (*key_path, step))


def with_value(document: Any, key_path: tuple[Any, ...], value: Any) -> Any:
    """A copy of the document with another value at this path."""
    changed = deepcopy(document)
    inner = changed
    for step in key_path[:-1]:
        inner = inner[step]
    inner[key_path[-1]] = value
    return changed


def rejected_field(document: Any, kind: Any) -> str:
    """The field named by the error for an invalid document."""
    with pytest.raises(ConfigError) as error_info:
        read_document_text(json.dumps(document), kind, "document")
    assert error_info.value.field in str(error_info.value)
    return error_info.value.field


@pytest.mark.parametrize("name", ["gateway", "tenants", "emulator", "load", "day"])
def test_documents_keep_their_keys_and_defaults(name: str) -> None:
    assert_as_recorded(f"keys-{name}", dict(keys_of(msgspec.inspect.type_info(DOCUMENT_TYPES[name]), "$")))


@pytest.mark.parametrize("name", DOCUMENT_TYPES)
def test_documents_load_to_the_same_values(name: str) -> None:
    assert_as_recorded(
        f"document-{name}", msgspec.to_builtins(read_document(DOCUMENTS / f"{name}.json5", DOCUMENT_TYPES[name]))
    )


@pytest.mark.parametrize("name", ["gateway", "tenants", "emulator", "load", "day"])
def test_the_full_documents_contain_every_key(name: str) -> None:
    documents = ["gateway", "gateway-file", "gateway-consul"] if name == "gateway" else [name]
    if name == "day":  # it contains keys of the gateway's document and of tenants' budgets
        documents += ["gateway", "tenants"]
    present = {k for document in documents for k in keys_in(example(document))}
    kinds = msgspec.inspect.type_info(DOCUMENT_TYPES[name])
    known = {path.rsplit(".", 1)[1] for path, _ in keys_of(kinds, "$") if not path.endswith("=")}
    assert known <= present


@pytest.mark.parametrize("name", DOCUMENT_TYPES)
def test_the_error_for_a_wrong_value_names_its_key(name: str) -> None:
    document, kind = example(name), DOCUMENT_TYPES[name]
    result = {
        "/".join(map(str, key_path)): rejected_field(with_value(document, key_path, WRONG_VALUE), kind)
        for key_path in key_paths(document)
    }
    assert_as_recorded(f"refusals-{name}", result)


@pytest.mark.parametrize("name", DOCUMENT_TYPES)
def test_the_error_for_an_unknown_key_names_it(name: str) -> None:
    assert rejected_field(example(name) | {"misspelt": 1}, DOCUMENT_TYPES[name]) == "$.misspelt"


def test_the_scenarios_of_the_repository_load() -> None:
    scenarios = {
        p.name: msgspec.to_builtins(read_document(p, ScenarioDocument)) for p in sorted((ROOT / "days").glob("*.json5"))
    }
    assert_as_recorded("days", scenarios)


def test_the_example_engines_load() -> None:
    paths = sorted((ROOT / "examples" / "engines").glob("*.json5"))
    assert_as_recorded("engines", {p.name: msgspec.to_builtins(read_document(p, EngineDocument)) for p in paths})


# -- the platform's configuration


class AccessRecorder(dict[str, Any]):
    """Settings that record the path of each accessed key."""

    def __init__(self, values: dict[str, Any], path: str, accessed: set[str]) -> None:
        super().__init__({k: self.wrapped(v, f"{path}.{k}", accessed) for k, v in values.items()})
        self.path, self.accessed = path, accessed

    @classmethod
    def wrapped(cls, value: Any, path: str, accessed: set[str]) -> Any:
        if isinstance(value, dict):
            return cls(value, path, accessed)
        return [cls.wrapped(v, f"{path}[]", accessed) for v in value] if isinstance(value, list) else value

    def get(self, key: str, default: Any = None) -> Any:
        self.accessed.add(f"{self.path}.{key}")
        return super().get(key, default)

    def __getitem__(self, key: str) -> Any:
        self.accessed.add(f"{self.path}.{key}")
        return super().__getitem__(key)


def platform_example() -> dict[str, Any]:
    return dict(json.loads((DOCUMENTS / "platform.json").read_text()))


def platform_values(path: Path, **environment: str) -> dict[str, Any]:
    """The settings that a platform gateway derives from a configuration file."""
    configuration = read_platform_configuration({"NODE_CONFIG": str(path), **environment})
    deployment = configuration.deployment
    return {
        "place": [configuration.name, configuration.listen, configuration.discovery],
        "limits": msgspec.to_builtins(configuration.limits),
        "known": msgspec.to_builtins(configuration.known_endpoints),
        "facts": plain(deployment.router_config),
        "products": {k: plain(v) for k, v in deployment.request_classes.items()},
        "tenants": list(deployment.tenants),
        "servers": [
            plain(deployment.server(e.name, e.zone, e.type, e.group)) for e in configuration.known_endpoints.endpoints
        ],
        "report": plain(deployment.report({"outstanding": 3.0, "x0": 0.25})),
    }


def test_the_platforms_configuration_keeps_its_keys() -> None:
    accessed: set[str] = set()
    Deployment(1, AccessRecorder(platform_example()["settings"], "$.settings", accessed))
    file = dict(keys_of(msgspec.inspect.type_info(PlatformDocument), "$"))
    known = dict(keys_of(msgspec.inspect.type_info(EndpointList), "$.known"))
    assert_as_recorded("keys-platform", {"file": file, "known": known, "settings": sorted(accessed)})


def test_the_platforms_full_configuration_contains_every_key() -> None:
    recorded_keys = json.loads((STORED / "keys-platform.json").read_text())
    known = {path.rsplit(".", 1)[1] for part in recorded_keys.values() for path in part}
    assert known <= keys_in(platform_example())


def test_the_platforms_configuration_loads_to_the_same_values(tmp_path: Path) -> None:
    minimal = tmp_path / "least.json"
    settings = {"profiles": [{"name": "summary", "aim": 500.0, "deadline": 2000.0}]}
    minimal.write_text(json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings}))
    named = {"NODE_NAME": "n9", "NODE_LISTEN": "[::1]:81", "NODE_DISCOVERY": "127.0.0.1:82"}
    full = DOCUMENTS / "platform.json"
    values = {"full": platform_values(full), "least": platform_values(minimal), "named": platform_values(full, **named)}
    assert_as_recorded("document-platform", values)


def rejected_platform_field(document: dict[str, Any], path: Path) -> str:
    """The key named by the error for an invalid configuration, "refused" if it names none, or "accepted" if there is no
    error."""
    path.write_text(json.dumps(document))
    try:
        read_platform_configuration({"NODE_CONFIG": str(path)})
    except ConfigurationError as error:
        match = re.search(r"`(\$[^`]*)`|\((\w\w+)\)|: (listen|discovery|limits)\b|^(listen|discovery) ", str(error))
        return next(part for part in match.groups() if part) if match else "refused"
    return "accepted"


def test_the_error_for_a_wrong_platform_value_names_its_key(tmp_path: Path) -> None:
    document = platform_example()
    result = {
        "/".join(map(str, key_path)): rejected_platform_field(
            with_value(document, key_path, "many"), tmp_path / "file.json"
        )
        for key_path in key_paths(document)
    }
    assert_as_recorded("refusals-platform", result)


def test_endpoint_lists_of_discovery_are_read() -> None:
    raw = json.dumps(platform_example()["known"]).encode()
    assert_as_recorded("listing", msgspec.to_builtins(parse_endpoint_list(raw)))


def test_the_deployment_file_starts_the_recorded_commands() -> None:
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    commands = re.findall(r'^(\w+) = "exec \S+ -m (\S+)"', text, re.M)
    assert_as_recorded("platform-commands", sorted(map(list, commands)))
    for _, module in commands:
        assert import_module(module).__file__
    for path in re.findall(r'"(ternlane/[^"]*)"', text):
        assert (ROOT / path).exists()


# -- the command line


def shape_of(help_text: str) -> dict[str, list[str]]:
    """The options, arguments and commands in a help text."""
    usage = re.search(r"^Usage: (?:python -m )?ternlane(.*(?:\n {2,}\S.*)*)", help_text, re.M)
    assert usage is not None
    _, _, commands = help_text.partition("\nCommands:\n")
    return {
        "arguments": re.findall(r"\[?[A-Z][A-Z_]+\]?(?:\.\.\.)?", usage[1]),
        "options": sorted(
            re.findall(
                r"^  (--?[\w-]+(?:[,/ ]+-[\w-]+)*(?: (?:\[[^\]]*\]|[A-Z][A-Z_]*|<[^>]*>(?:\.\.\.)?))?)", help_text, re.M
            )
        ),
        "commands": sorted(re.findall(r"^  ([a-z][\w-]*)(?:  |$)", commands, re.M)),
    }


def command_line(*command: str) -> Iterator[tuple[str, dict[str, list[str]]]]:
    """The shapes of the help texts of a command and all of its subcommands."""
    result = run(*command, "--help")
    assert result.returncode == 0, result.stderr
    shape = shape_of(result.stdout)
    yield " ".join(command), shape
    for inner in shape["commands"]:
        yield from command_line(*command, inner)


def test_the_command_line_keeps_its_names() -> None:
    result = dict(command_line())
    result["day part"] = shape_of(run("day", "part", "--help").stdout)  # hidden: used internally by `day play`
    assert_as_recorded("command-line", result)


def test_hidden_options_are_accepted() -> None:
    assert run("serve", "--chooser", "module:name", "--help").returncode == 0


def test_exit_codes_of_valid_and_invalid_documents() -> None:
    good, bad = (
        run("config", "check", str(DOCUMENTS / "gateway.json5")),
        run("config", "check", str(DOCUMENTS / "day.json5")),
    )
    assert (good.returncode, bad.returncode) == (0, 65)
    assert "day.json5:" in bad.stderr


# -- the public API


def parameters_of(value: Any) -> list[str]:
    """Parameter names, with "=" if there is a default; empty if a class has no signature."""
    try:
        signature = inspect.signature(value)
    except ValueError:
        return []
    return [p.name + "=" * (p.default is not p.empty) for p in signature.parameters.values() if p.name != "self"]


def api_shape(value: Any) -> dict[str, Any]:
    """The parameters of a public object, and its public attributes with their parameters."""
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
    """The events and actions listed in `docs/api.md`, with their modules."""
    text = (ROOT / "docs" / "api.md").read_text()
    parts = re.findall(r"^## (?:Events|Actions), from `([\w.]+)`$(.*?)(?=^## |\Z)", text, re.M | re.S)
    return [f"{module}.{name}" for module, part in parts for name in re.findall(r"^### `(\w+)", part, re.M)]


def public_names() -> dict[str, Any]:
    """All public names and their objects."""
    result = {name: getattr(ternlane, name) for name in ternlane.__all__}
    for path in documented_messages():
        module, _, name = path.rpartition(".")
        result[path] = getattr(import_module(module), name)
    return result


def recorded_name(new: str) -> str:
    return next((old for old, now in RENAMED.items() if now == new), new)


def test_the_public_api_keeps_its_names() -> None:
    shapes = {name: api_shape(value) for name, value in public_names().items()}
    recorded_shapes = recorded("public-api", shapes)
    expected = {RENAMED.get(name, name): shape for name, shape in recorded_shapes.items()}
    assert set(shapes) == set(expected)
    for name, shape in shapes.items():
        assert shape == with_new_names(recorded_name(name), expected[name]), name


def with_new_names(owner: str, shape: dict[str, Any]) -> dict[str, Any]:
    """A recorded shape with the current names of attributes and constructor parameters. Attributes that are private now
    are omitted."""
    changed = dict(shape)
    if "attributes" in shape:
        changed["attributes"] = {
            current_attribute(owner, a): None if p is None else current_parameters(owner, p)
            for a, p in shape["attributes"].items()
            if not current_attribute(owner, a).startswith("_")
        }
    if "parameters" in shape:
        changed["parameters"] = current_parameters(owner, shape["parameters"])
    return changed


def current_parameters(owner: str, parameters: list[str]) -> list[str]:
    return [current_attribute(owner, p.rstrip("=")) + "=" * p.endswith("=") for p in parameters]


def current_attribute(owner: str, attribute: str) -> str:
    member = RENAMINGS["members"].get(f"{owner}.{attribute}")
    return member or RENAMINGS["fields"].get(attribute, attribute)


def test_the_error_for_an_old_public_name_contains_the_new_one() -> None:
    old_names = json.loads((STORED / "public-api.json").read_text())
    for old, new in RENAMED.items():
        if old in old_names:
            module, _, name = old.rpartition(".")
            with pytest.raises((AttributeError, ImportError), match=re.escape(new.rpartition(".")[2])):
                getattr(import_module(module or "ternlane"), name)


def test_an_unknown_public_name_raises_an_attribute_error() -> None:
    with pytest.raises(AttributeError, match="Nonesuch"):
        ternlane.Nonesuch  # noqa: B018


def test_public_errors_and_streams_keep_their_attributes() -> None:
    config_error = ternlane.ConfigError("file:1", "$.name", "wrong")
    assert (config_error.where, config_error.field, config_error.why) == ("file:1", "$.name", "wrong")
    assert str(config_error) == "file:1: $.name: wrong"
    assert ternlane.RejectedError(5.0).pause_ms == 5.0
    failed_error = ternlane.FailedError("lost", True)
    assert (str(failed_error), failed_error.begun) == ("lost", True)
    request_error = ternlane.InvalidRequestError("model", "unknown")
    assert (request_error.param, request_error.why, request_error.code, request_error.status) == (
        "model",
        "unknown",
        "invalid_value",
        400,
    )
    stream = ternlane.Stream()
    assert hasattr(stream, "usage") and hasattr(stream, "finish")


async def test_an_open_gateway_has_an_address() -> None:
    document = read_document(DOCUMENTS / "gateway-least.json5", GatewayDocument)
    async with ternlane.open_gateway(document) as gateway:
        assert re.fullmatch(r"127\.0\.0\.1:\d+", gateway.address)
