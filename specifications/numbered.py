"""Name the variables that each attempt or host of a model has of its own."""

from dataclasses import dataclass
from typing import Any

from specifications.search import State


@dataclass(frozen=True)
class Numbered:
    """Name the variables of one attempt or host by its number.

    >>> Numbered(1).name("phase")
    'phase_1'
    """

    number: int

    def name(self, variable: str) -> str:
        """Return the name of a variable in the whole state."""
        return f"{variable}_{self.number}"

    def get(self, state: State, variable: str) -> Any:
        """Return the value of a variable."""
        return state[self.name(variable)]

    def set(self, **values: Any) -> dict[str, Any]:
        """Return the values by their names in the whole state."""
        return {self.name(variable): value for variable, value in values.items()}
