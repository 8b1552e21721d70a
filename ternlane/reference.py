"""The API reference, made from the docstrings of the public names: `python -m ternlane.reference > docs/api.md`."""

from __future__ import annotations

import dataclasses
import inspect
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Any, get_args

import msgspec

import ternlane
from ternlane.policy import messages

PLAIN = ("self", "cls")
EMPTY = inspect.Parameter.empty


class Bare:
    """Text that a signature shows without quotes."""

    def __init__(self, text: str) -> None:
        self.text = text

    def __repr__(self) -> str:
        return self.text


def signature(name: str, of: Callable[..., Any]) -> str:
    """A callable as the page shows it."""
    try:
        said = inspect.signature(of)
    except (TypeError, ValueError):
        return name
    kept = [
        p.replace(
            annotation=p.annotation if p.annotation is EMPTY else Bare(tidy(p.annotation)),
            default=Bare(p.default.__name__) if isinstance(p.default, type) and p.default is not EMPTY else p.default,
        )
        for p in said.parameters.values()
        if p.name not in PLAIN
    ]
    back = said.return_annotation
    said = said.replace(parameters=kept, return_annotation=EMPTY)
    gives = "" if back in (EMPTY, "None", None) else f" -> {tidy(back)}"
    return f"{name}{said}{gives}"


def tidy(annotation: Any) -> str:
    """A type without the modules that it comes from."""
    return annotation if isinstance(annotation, str) else getattr(annotation, "__name__", str(annotation))


def own_doc(of: Any) -> str:
    """The docstring, unless it was inherited or generated."""
    said = inspect.getdoc(of) if not isinstance(of, type) else (of.__dict__.get("__doc__") or "")
    said = inspect.cleandoc(said or "")
    generated = isinstance(of, type) and said.startswith(f"{of.__name__}(")
    return "" if generated else said


def fields_of(kind: type) -> Iterator[str]:
    """Name, type and default of each field, for records of either sort."""
    if issubclass(kind, msgspec.Struct):
        for it in msgspec.structs.fields(kind):
            needed = it.default is msgspec.NODEFAULT and it.default_factory is msgspec.NODEFAULT
            yield shown(it.encode_name, kind, it.name, needed, it.default)
    elif dataclasses.is_dataclass(kind):
        for known in dataclasses.fields(kind):
            if not known.name.startswith("_") and known.init:
                needed = known.default is dataclasses.MISSING and known.default_factory is dataclasses.MISSING
                yield shown(known.name, kind, known.name, needed, known.default)


def shown(name: str, kind: type, attribute: str, needed: bool, default: Any) -> str:
    """One field with its type, and its default where it has one."""
    typed = next(
        (k.__annotations__[attribute] for k in kind.__mro__ if attribute in k.__dict__.get("__annotations__", {})), ""
    )
    plain = isinstance(default, str | int | float | bool | None | tuple)
    given = "" if needed else f" = {default!r}" if plain else " = ..."
    return f"{name}: {tidy(typed)}{given}"


def methods_of(kind: type) -> Iterator[tuple[str, Any]]:
    """Public methods and properties that the class itself, or a base of this project's, defines."""
    seen: set[str] = set()
    for base in kind.__mro__:
        if not base.__module__.startswith("ternlane"):
            continue
        for name, value in vars(base).items():
            plain = value.__func__ if isinstance(value, classmethod | staticmethod) else value
            if name.startswith("_") or name in seen or not (inspect.isfunction(plain) or isinstance(plain, property)):
                continue
            seen.add(name)
            yield name, plain


def page_of(name: str, it: Any) -> Iterator[str]:
    """The lines of one public name."""
    if not isinstance(it, type):
        yield f"### `{signature(name, it)}`\n"
        yield own_doc(it) + "\n"
        return
    listed = list(fields_of(it))
    if issubclass(it, Enum):
        yield f"### `{name}`\n"
        yield own_doc(it) + "\n"
        yield "Members: " + ", ".join(f"`{m.name}`" for m in it) + "\n"
        return
    plain = (
        dataclasses.is_dataclass(it)
        or listed
        or issubclass(it, BaseException)
        or "__init__" not in vars(it)
        or getattr(it, "_is_protocol", False)
    )
    yield f"### `{name}`\n" if plain else f"### `{signature(name, it)}`\n"
    yield own_doc(it) + "\n"
    if listed:
        yield "```python\n" + "\n".join(listed) + "\n```\n"
    for called, of in methods_of(it):
        if isinstance(of, property):
            yield f"- `.{called}`: {one_line(of)}"
        else:
            wait = "async " if inspect.iscoroutinefunction(of) else ""
            yield f"- `{wait}.{signature(called, of)}`: {one_line(of)}"
    yield ""


def one_line(of: Any) -> str:
    """A docstring without its line breaks."""
    return " ".join((inspect.getdoc(of) or "").split())


def undocumented_names() -> list[str]:
    """Public names, methods and properties that say nothing of themselves."""
    silent = []
    for name in ternlane.__all__[1:]:
        it = getattr(ternlane, name)
        silent += [] if own_doc(it) else [name]
        if isinstance(it, type) and not issubclass(it, Enum):
            silent += [f"{name}.{called}" for called, of in methods_of(it) if not one_line(of)]
    silent += [kind.__name__ for kind in (*get_args(messages.Event), *get_args(messages.Action)) if not own_doc(kind)]
    return silent


def page() -> Iterator[str]:
    """The lines of the whole page."""
    yield f"# API of ternlane {ternlane.__version__}\n"
    yield (
        "Made by `python -m ternlane.reference` from the docstrings. Times are milliseconds, memory is in tokens,\n"
        "unless a line says otherwise. What is not here is private.\n"
    )
    at = ""
    for name in ternlane.__all__[1:]:
        home = ternlane._PLACES[name]
        if home != at:
            at = home
            yield f"## From `ternlane.{home}`\n"
        yield from page_of(name, getattr(ternlane, name))
    for title, kinds in (
        ("Events, from `ternlane.policy.messages`", messages.Event),
        ("Actions, from `ternlane.policy.messages`", messages.Action),
    ):
        yield f"## {title}\n"
        for kind in get_args(kinds):
            yield from page_of(kind.__name__, kind)


if __name__ == "__main__":
    print("\n".join(page()).rstrip())
