"""Generates the API reference from the docstrings of the public names: `python -m ternlane.reference > docs/api.md`."""

from __future__ import annotations

import dataclasses
import inspect
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Any, get_args

import msgspec

import ternlane
from ternlane.policy import messages

IMPLICIT_PARAMETERS = ("self", "cls")
EMPTY = inspect.Parameter.empty


class Unquoted:
    """Text that a signature shows without quotes."""

    def __init__(self, text: str) -> None:
        self.text = text

    def __repr__(self) -> str:
        return self.text


def signature(name: str, target: Callable[..., Any]) -> str:
    """The signature of a callable as shown in the reference."""
    try:
        call_signature = inspect.signature(target)
    except (TypeError, ValueError):
        return name
    parameters = [
        p.replace(
            annotation=p.annotation if p.annotation is EMPTY else Unquoted(type_name(p.annotation)),
            default=Unquoted(p.default.__name__)
            if isinstance(p.default, type) and p.default is not EMPTY
            else p.default,
        )
        for p in call_signature.parameters.values()
        if p.name not in IMPLICIT_PARAMETERS
    ]
    returned = call_signature.return_annotation
    call_signature = call_signature.replace(parameters=parameters, return_annotation=EMPTY)
    arrow = "" if returned in (EMPTY, "None", None) else f" -> {type_name(returned)}"
    return f"{name}{call_signature}{arrow}"


def type_name(annotation: Any) -> str:
    """The name of a type without its module."""
    return annotation if isinstance(annotation, str) else getattr(annotation, "__name__", str(annotation))


def own_docstring(target: Any) -> str:
    """The docstring, unless it was inherited or generated."""
    docstring = inspect.getdoc(target) if not isinstance(target, type) else (target.__dict__.get("__doc__") or "")
    docstring = inspect.cleandoc(docstring or "")
    generated = isinstance(target, type) and docstring.startswith(f"{target.__name__}(")
    return "" if generated else docstring


def field_lines(kind: type) -> Iterator[str]:
    """Name, type and default of each field of a dataclass or msgspec struct."""
    if issubclass(kind, msgspec.Struct):
        for info in msgspec.structs.fields(kind):
            required = info.default is msgspec.NODEFAULT and info.default_factory is msgspec.NODEFAULT
            yield field_line(info.encode_name, kind, info.name, required, info.default)
    elif dataclasses.is_dataclass(kind):
        for field in dataclasses.fields(kind):
            if not field.name.startswith("_") and field.init:
                required = field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING
                yield field_line(field.name, kind, field.name, required, field.default)


def field_line(name: str, kind: type, attribute: str, required: bool, default: Any) -> str:
    """A field with its type and its default, if any."""
    annotation = next(
        (k.__annotations__[attribute] for k in kind.__mro__ if attribute in k.__dict__.get("__annotations__", {})), ""
    )
    has_literal = isinstance(default, str | int | float | bool | None | tuple)
    default_text = "" if required else f" = {default!r}" if has_literal else " = ..."
    return f"{name}: {type_name(annotation)}{default_text}"


def public_members(kind: type) -> Iterator[tuple[str, Any]]:
    """Public methods and properties that are defined by the class or by a base class of this project."""
    seen: set[str] = set()
    for base in kind.__mro__:
        if not base.__module__.startswith("ternlane"):
            continue
        for name, value in vars(base).items():
            function = value.__func__ if isinstance(value, classmethod | staticmethod) else value
            if (
                name.startswith("_")
                or name in seen
                or not (inspect.isfunction(function) or isinstance(function, property))
            ):
                continue
            seen.add(name)
            yield name, function


def lines_of(name: str, item: Any) -> Iterator[str]:
    """The lines about one public name."""
    if not isinstance(item, type):
        yield f"### `{signature(name, item)}`\n"
        yield own_docstring(item) + "\n"
        return
    fields = list(field_lines(item))
    if issubclass(item, Enum):
        yield f"### `{name}`\n"
        yield own_docstring(item) + "\n"
        yield "Members: " + ", ".join(f"`{m.name}`" for m in item) + "\n"
        return
    without_signature = (
        dataclasses.is_dataclass(item)
        or fields
        or issubclass(item, BaseException)
        or "__init__" not in vars(item)
        or getattr(item, "_is_protocol", False)
    )
    yield f"### `{name}`\n" if without_signature else f"### `{signature(name, item)}`\n"
    yield own_docstring(item) + "\n"
    if fields:
        yield "```python\n" + "\n".join(fields) + "\n```\n"
    for member, target in public_members(item):
        if isinstance(target, property):
            yield f"- `.{member}`: {single_line(target)}"
        else:
            prefix = "async " if inspect.iscoroutinefunction(target) else ""
            yield f"- `{prefix}.{signature(member, target)}`: {single_line(target)}"
    yield ""


def single_line(target: Any) -> str:
    """The docstring on a single line."""
    return " ".join((inspect.getdoc(target) or "").split())


def undocumented_names() -> list[str]:
    """Public names, methods and properties without a docstring."""
    undocumented = []
    for name in ternlane.__all__[1:]:  # without `__version__`
        item = getattr(ternlane, name)
        undocumented += [] if own_docstring(item) else [name]
        if isinstance(item, type) and not issubclass(item, Enum):
            undocumented += [f"{name}.{member}" for member, target in public_members(item) if not single_line(target)]
    undocumented += [
        kind.__name__ for kind in (*get_args(messages.Event), *get_args(messages.Action)) if not own_docstring(kind)
    ]
    return undocumented


def reference_lines() -> Iterator[str]:
    """The lines of the reference."""
    yield f"# API of ternlane {ternlane.__version__}\n"
    yield (
        "Generated by `python -m ternlane.reference` from the docstrings. Unless stated otherwise, times are in\n"
        "milliseconds and memory is in tokens. Names that are not listed here are private.\n"
    )
    module = ""
    for name in ternlane.__all__[1:]:  # without `__version__`
        module_of_name = ternlane._MODULES[name]
        if module_of_name != module:
            module = module_of_name
            yield f"## From `ternlane.{module_of_name}`\n"
        yield from lines_of(name, getattr(ternlane, name))
    for title, kinds in (
        ("Events, from `ternlane.policy.messages`", messages.Event),
        ("Actions, from `ternlane.policy.messages`", messages.Action),
    ):
        yield f"## {title}\n"
        for kind in get_args(kinds):
            yield from lines_of(kind.__name__, kind)


if __name__ == "__main__":
    print("\n".join(reference_lines()).rstrip())
