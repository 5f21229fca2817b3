"""Search transition systems for counterexamples, and prove invariants by induction.

>>> counter = TransitionSystem(
...     variables={"n": z3.IntSort()},
...     initial=lambda state: state["n"] == 0,
...     steps={
...         "increment": Step(
...             guard=lambda state: state["n"] < 3,
...             update=lambda state: {"n": state["n"] + 1},
...         )
...     },
...     invariant=lambda state: state["n"] < 3,
... )
>>> search_bounded(counter, depth=4).steps
('increment', 'increment', 'increment')
>>> safe = replace(counter, invariant=lambda state: state["n"] <= 3)
>>> search_bounded(safe, depth=4) is None, prove_inductive(safe) is None
(True, True)
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import z3

State = Mapping[str, Any]
Predicate = Callable[[State], z3.BoolRef]


@dataclass(frozen=True)
class Step:
    """Change some variables when the guard holds; all others keep their values.

    ``inputs`` are free choices of the step. Guard and update see them beside the variables, under
    their own names.
    """

    guard: Predicate
    update: Callable[[State], Mapping[str, Any]]
    inputs: Mapping[str, z3.SortRef] = field(default_factory=dict)


@dataclass(frozen=True)
class TransitionSystem:
    """Describe the variables, the initial states, the named steps and what must always hold."""

    variables: Mapping[str, z3.SortRef]
    initial: Predicate
    steps: Mapping[str, Step]
    invariant: Predicate

    def without_guard(self, name: str, guard: Predicate) -> "TransitionSystem":
        """Return the system with another guard on one step."""
        steps = {**self.steps, name: replace(self.steps[name], guard=guard)}
        return replace(self, steps=steps)


@dataclass(frozen=True)
class Counterexample:
    """Hold the steps that lead to a broken invariant and the states between them.

    Whole numbers and truth values are Python's own; other values are given as text.
    """

    steps: tuple[str, ...]
    states: tuple[Mapping[str, Any], ...]

    def __str__(self) -> str:
        lines = [f"start: {_format_state(self.states[0])}"]
        for name, before, after in zip(self.steps, self.states, self.states[1:], strict=False):
            changed = {key: value for key, value in after.items() if value != before[key]}
            lines.append(f"{name}: {_format_state(changed)}")
        return "\n".join(lines)


def search_bounded(system: TransitionSystem, depth: int) -> Counterexample | None:
    """Return the shortest run of at most ``depth`` steps that breaks the invariant."""
    solver = z3.Solver()
    states = [_declare_state(system, 0)]
    choices: list[z3.ArithRef] = []
    solver.add(system.initial(states[0]))
    for index in range(depth + 1):
        solver.push()
        solver.add(z3.Not(system.invariant(states[index])))
        if _check(solver):
            return _read_run(system, solver.model(), states, choices)
        solver.pop()
        solver.add(system.invariant(states[index]))
        states.append(_declare_state(system, index + 1))
        choices.append(z3.Int(f"choice@{index}"))
        solver.add(_relate_states(system, states[index], states[index + 1], choices[index], index))
    return None


def prove_inductive(system: TransitionSystem) -> Counterexample | None:
    """Return ``None`` if the invariant holds initially and every step keeps it.

    Otherwise return the initial state that breaks it, or one step that does from a state, perhaps
    unreachable, in which it holds.
    """
    before, after = _declare_state(system, 0), _declare_state(system, 1)
    solver = z3.Solver()
    solver.add(system.initial(before), z3.Not(system.invariant(before)))
    if _check(solver):
        return _read_run(system, solver.model(), [before], [])
    choice = z3.Int("choice@0")
    solver = z3.Solver()
    solver.add(system.invariant(before), z3.Not(system.invariant(after)))
    solver.add(_relate_states(system, before, after, choice, 0))
    if _check(solver):
        return _read_run(system, solver.model(), [before, after], [choice])
    return None


def _check(solver: z3.Solver) -> bool:
    result = solver.check()
    if result == z3.unknown:
        raise RuntimeError(f"the solver gave up: {solver.reason_unknown()}")
    return bool(result == z3.sat)


def _declare_state(system: TransitionSystem, index: int) -> dict[str, Any]:
    return {name: z3.Const(f"{name}@{index}", sort) for name, sort in system.variables.items()}


def _relate_states(
    system: TransitionSystem, before: State, after: State, choice: z3.ArithRef, index: int
) -> z3.BoolRef:
    relations = []
    for number, (name, step) in enumerate(system.steps.items()):
        inputs = {key: z3.Const(f"{name}.{key}@{index}", sort) for key, sort in step.inputs.items()}
        seen = {**before, **inputs}
        updates = step.update(seen)
        unknown = set(updates) - set(system.variables)
        if unknown:
            raise KeyError(f"step {name} updates unknown variables {sorted(unknown)}")
        effects = [after[key] == updates.get(key, before[key]) for key in system.variables]
        relations.append(z3.And(choice == number, step.guard(seen), *effects))
    return z3.Or(relations)


def _read_run(
    system: TransitionSystem, model: z3.ModelRef, states: list[Any], choices: list[z3.ArithRef]
) -> Counterexample:
    names = list(system.steps)
    steps = tuple(names[model.eval(choice, model_completion=True).as_long()] for choice in choices)
    values = tuple(
        {key: _read_value(model.eval(value, model_completion=True)) for key, value in state.items()}
        for state in states
    )
    return Counterexample(steps, values)


def _read_value(value: Any) -> bool | int | str:
    if z3.is_bool(value):
        return bool(z3.is_true(value))
    return value.as_long() if z3.is_int_value(value) else str(value)


def _format_state(state: Mapping[str, Any]) -> str:
    return ", ".join(f"{key}={value}" for key, value in state.items()) or "no change"
