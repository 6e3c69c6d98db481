"""Base class of the value classes in the core."""

from __future__ import annotations


class Record:
    """A value whose equality, hash and repr follow its public slots.

    Subclasses name their fields in `__slots__` and assign each of them in
    `__init__`. Slots with a leading underscore, such as caches, are not part
    of the value. Records are immutable by convention unless the subclass
    documents otherwise.
    """

    __slots__: tuple[str, ...] = ()

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
            if name[0] != "_"
        )

    def __hash__(self) -> int:
        return hash(
            tuple(
                getattr(self, name)
                for name in self.__slots__
                if name[0] != "_"
            )
        )

    def __repr__(self) -> str:
        fields = ", ".join(
            f"{name}={getattr(self, name)!r}"
            for name in self.__slots__
            if name[0] != "_"
        )
        return f"{type(self).__name__}({fields})"
