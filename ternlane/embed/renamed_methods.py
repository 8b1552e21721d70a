"""Old names of public methods: using one raises an error that names the new one."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar, NoReturn


class RenamedMethods:
    """Base of a public class some of whose methods were renamed. `_RENAMED_METHODS` maps each old name to the new."""

    _RENAMED_METHODS: ClassVar[dict[str, str]] = {}

    if not TYPE_CHECKING:  # type checkers must still report names that the class lacks

        def __getattr__(self, name: str) -> NoReturn:
            owner = type(self).__name__
            new_name = self._RENAMED_METHODS.get(name)
            if new_name is not None:
                raise AttributeError(f"{owner}.{name} was renamed to {owner}.{new_name} (docs/migration.md)")
            raise AttributeError(f"{owner!r} object has no attribute {name!r}")
