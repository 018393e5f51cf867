"""Registries that decorators fill, one per kind of varying behaviour.

A registry maps names to functions or classes of one kind, such as routing
policies or refusal reasons.  Modules register their entries when they are
imported::

    policies = make_registry('routing policy')

    @policies.register('random')
    def choose_random(...): ...
"""

from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from bluebellhub.errors import DuplicateEntryError, UnknownEntryError

__all__ = ['Registry', 'make_registry']

Entry = TypeVar('Entry')


class Registry(NamedTuple, Generic[Entry]):
    """Named entries of one kind; ``kind`` is used in error messages."""

    kind: str
    entries: dict[str, Entry]

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Return a decorator that stores its argument under ``name``.

        Raises `DuplicateEntryError` if the name is already registered.
        """

        def add_entry(entry: Entry) -> Entry:
            if name in self.entries:
                raise DuplicateEntryError(self.kind, name)
            self.entries[name] = entry
            return entry

        return add_entry

    def find(self, name: str) -> Entry:
        """Return the entry; raises `UnknownEntryError` if there is none."""
        try:
            return self.entries[name]
        except KeyError:
            raise UnknownEntryError(
                self.kind, name, sorted(self.entries)
            ) from None

    def names(self) -> list[str]:
        """Return the registered names in alphabetical order."""
        return sorted(self.entries)


def make_registry(kind: str) -> Registry:
    """Create an empty registry for entries of ``kind``."""
    return Registry(kind, {})
