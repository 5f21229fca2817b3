"""Name the state variables that belong to one process (an attempt or a host) of a model."""

from dataclasses import dataclass
from typing import Any

from specifications.search import State


@dataclass(frozen=True)
class NumberedProcess:
    """Access the state variables of one process, which carry its number as a suffix.

    >>> NumberedProcess(1).name("phase")
    'phase_1'
    """

    number: int

    def name(self, variable: str) -> str:
        """Return the name of one of the process's variables in the global state."""
        return f"{variable}_{self.number}"

    def get(self, state: State, variable: str) -> Any:
        """Return the value of one of the process's variables."""
        return state[self.name(variable)]

    def set(self, **values: Any) -> dict[str, Any]:
        """Return updates of the process's variables, by their names in the global state."""
        return {self.name(variable): value for variable, value in values.items()}
