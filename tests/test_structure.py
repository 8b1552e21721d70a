"""Rules for the dependencies between modules.

A module that imports modules built on it cannot be read, tested or replaced on its own. With cycles, the order of
imports matters, so that an unrelated import may fail at start. Decisions and protocol codecs that do I/O cannot be
replayed from recorded events. The rules are checked on the source code, which includes imports within functions.
"""

from __future__ import annotations

import ast
from collections.abc import Iterable, Iterator
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = "ternlane"

# Module -> why it may import the package root or one of its own packages. All entries must be in use.
MAY_IMPORT_UPWARDS = {
    "ternlane.cli": "`--version` prints the version from the package root",
    "ternlane.reference": "documents the public names of the package root",
}

# Modules that do I/O or start threads, and what they access.
IO_MODULES = {
    "asyncio": "an event loop, which belongs to the callers",
    "httpx": "network",
    "http": "network",
    "io": "files",
    "multiprocessing": "processes",
    "os": "files, environment and system random numbers",
    "pathlib": "files",
    "selectors": "network",
    "shutil": "files",
    "signal": "the process",
    "socket": "network",
    "sqlite3": "files",
    "ssl": "network",
    "structlog": "log output; the host logs events and actions",
    "subprocess": "processes",
    "tempfile": "files",
    "threading": "threads",
    "trio": "an event loop, which belongs to the callers",
    "urllib": "network",
}
CLOCK_MODULES = {
    "time": "decisions that read a clock cannot be replayed",
    "datetime": "decisions that read a clock cannot be replayed",
}

POLICY = ("ternlane.policy",)
CODECS = (
    "ternlane.platform.protocol",
    "ternlane.deployment",
    "ternlane.platform.event_stream",
    "ternlane.platform.endpoint_list",
    "ternlane.wirehost.codec",
    "ternlane.engine.messages",
    "ternlane.engine.request_body",
    "ternlane.engine.rejection",
    "ternlane.engine.load_report",
    "ternlane.engine.protocols",
    "ternlane.chat",
    "ternlane.recovery.inflight",
)

# (Module, import) -> why it does no I/O there. All entries must be in use.
MAY_IMPORT_IO: dict[tuple[str, str], str] = {}

# (Module, import) -> why the policy package may import it from outside. All entries must be in use.
MAY_IMPORT_OUTSIDE_POLICY: dict[tuple[str, str], str] = {}


# -- reading the source


@cache
def modules() -> dict[str, Path]:
    """Every module of the package by name."""
    found = {}
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def is_type_checking(node: ast.AST) -> bool:
    """Whether this is `if TYPE_CHECKING:`, whose imports are not executed."""
    return isinstance(node, ast.If) and isinstance(node.test, ast.Name) and node.test.id == "TYPE_CHECKING"


def import_nodes(node: ast.AST, within_functions: bool) -> Iterator[ast.Import | ast.ImportFrom]:
    for child in ast.iter_child_nodes(node):
        if isinstance(child, ast.Import | ast.ImportFrom):
            yield child
        elif is_type_checking(child):
            continue
        elif within_functions or not isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda):
            yield from import_nodes(child, within_functions)


def imported_names(name: str, node: ast.Import | ast.ImportFrom) -> list[str]:
    """The modules named by an import: `from a import b` is a.b if that is a module, else a."""
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    base = node.module or ""
    if node.level:
        package = name if modules()[name].name == "__init__.py" else name.rpartition(".")[0]
        parents = package.split(".")[: len(package.split(".")) - node.level + 1]
        base = ".".join([*parents, *([base] if base else [])])
    submodules = [f"{base}.{alias.name}" for alias in node.names]
    return [submodule if submodule in modules() else base for submodule in submodules]


@cache
def imports_of(name: str, within_functions: bool = True) -> frozenset[str]:
    """The modules that a module imports, optionally including imports within functions."""
    tree = ast.parse(modules()[name].read_text())
    return frozenset(n for node in import_nodes(tree, within_functions) for n in imported_names(name, node))


def is_within(name: str, packages: Iterable[str]) -> bool:
    return any(name == package or name.startswith(f"{package}.") for package in packages)


# -- the rules


def cycles(graph: dict[str, set[str]]) -> list[list[str]]:
    """Groups of modules that depend on each other (strongly connected components, by Tarjan's algorithm)."""
    index: dict[str, int] = {}
    lowest: dict[str, int] = {}
    stack: list[str] = []
    found: list[list[str]] = []

    def visit(name: str) -> None:
        index[name] = lowest[name] = len(index)
        stack.append(name)
        for target in graph[name]:
            if target not in index:
                visit(target)
                lowest[name] = min(lowest[name], lowest[target])
            elif target in stack:
                lowest[name] = min(lowest[name], index[target])
        if lowest[name] == index[name]:
            group = stack[stack.index(name) :]
            del stack[stack.index(name) :]
            if len(group) > 1 or name in graph[name]:
                found.append(sorted(group))

    for name in graph:
        if name not in index:
            visit(name)
    return found


def test_cycles_are_found() -> None:
    assert cycles({"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": {"d"}, "e": {"a"}}) == [["b", "c"], ["d"]]


@pytest.mark.parametrize("within_functions", [False, True])
def test_there_are_no_import_cycles(within_functions: bool) -> None:
    graph = {name: set(imports_of(name, within_functions)) & set(modules()) for name in modules()}
    assert cycles(graph) == []


def upward_imports(name: str) -> set[str]:
    """The parent packages that a module imports. The `__init__` of a package may import its own modules."""
    parents = {name.rsplit(".", depth)[0] for depth in range(1, name.count(".") + 1)}
    return parents & imports_of(name)


def test_no_module_imports_its_parent_package() -> None:
    found = {name for name in modules() if upward_imports(name)}
    assert found == set(MAY_IMPORT_UPWARDS)


def forbidden_imports(packages: Iterable[str], forbidden: Iterable[str]) -> set[tuple[str, str]]:
    """(Module, import) for each import of a forbidden module within these packages."""
    return {
        (name, imported)
        for name in modules()
        if is_within(name, packages)
        for imported in imports_of(name)
        if is_within(imported, forbidden)
    }


def test_policy_does_no_io_and_reads_no_clock() -> None:
    found = forbidden_imports(POLICY, IO_MODULES | CLOCK_MODULES)
    assert found == {pair for pair in MAY_IMPORT_IO if is_within(pair[0], POLICY)}


def test_protocol_codecs_do_no_io() -> None:
    found = forbidden_imports(CODECS, IO_MODULES)
    assert found == {pair for pair in MAY_IMPORT_IO if is_within(pair[0], CODECS)}


def test_policy_imports_no_host() -> None:
    """Modules of the policy package may import each other and plain data, but nothing that turns actions into I/O."""
    outside = {
        (name, imported)
        for name in modules()
        if is_within(name, POLICY)
        for imported in imports_of(name)
        if is_within(imported, [PACKAGE]) and not is_within(imported, POLICY)
    }
    assert outside == set(MAY_IMPORT_OUTSIDE_POLICY)


@pytest.mark.parametrize("checked", [*POLICY, *CODECS])
def test_checked_modules_exist(checked: str) -> None:
    assert checked in modules()
