"""Tables of numbered slots, for connections and requests."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Slots(Generic[T]):
    """Gives each item a number, from 0; the number freed last is reused first.

    `limit`: the most items that it holds at a time."""

    def __init__(self, limit: int | None = None) -> None:
        self._items: list[T | None] = []
        self._free: list[int] = []
        self.limit = limit

    def __len__(self) -> int:
        return len(self._items) - len(self._free)

    def full(self) -> bool:
        """Whether `add` would raise OverflowError; never without a limit."""
        return self.limit is not None and len(self) >= self.limit

    def add(self, item: T) -> int:
        """Adds an item and returns its number. Raises OverflowError if the table is full."""
        if self.full():
            raise OverflowError(f"all {self.limit} slots are taken")
        if self._free:
            number = self._free.pop()
            self._items[number] = item
            return number
        self._items.append(item)
        return len(self._items) - 1

    def get(self, number: int) -> T | None:
        """Returns the item of this number, None if the number is not in use."""
        return self._items[number] if 0 <= number < len(self._items) else None

    def free(self, number: int) -> None:
        """Removes an item; its number may be reused from now on. Raises KeyError if the slot is empty."""
        if self.get(number) is None:
            raise KeyError(f"slot {number} is not in use")
        self._items[number] = None
        self._free.append(number)

    def __iter__(self) -> Iterator[T]:
        return iter([item for item in self._items if item is not None])
