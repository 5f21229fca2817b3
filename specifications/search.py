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
    """Define a guarded transition; variables that ``update`` does not return keep their values.

    ``inputs`` are unconstrained values that the solver chooses for each step. ``guard`` and
    ``update`` receive them together with the variables, under their own names.
    """

    guard: Predicate
    update: Callable[[State], Mapping[str, Any]]
    inputs: Mapping[str, z3.SortRef] = field(default_factory=dict)


@dataclass(frozen=True)
class TransitionSystem:
    """Define a system by its variables, initial states, named steps and invariant."""

    variables: Mapping[str, z3.SortRef]
    initial: Predicate
    steps: Mapping[str, Step]
    invariant: Predicate

    def replace_guard(self, name: str, guard: Predicate) -> "TransitionSystem":
        """Return a copy of the system in which the named step has the given guard."""
        steps = {**self.steps, name: replace(self.steps[name], guard=guard)}
        return replace(self, steps=steps)


@dataclass(frozen=True)
class Counterexample:
    """Represent a run that violates the invariant: its steps, and the states before and after each.

    Integers and Booleans are Python values; values of other sorts are converted to ``str``.
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
    """Return the shortest run of at most ``depth`` steps that violates the invariant, if any.

    Raise ``RuntimeError`` if the solver cannot decide.
    """
    solver = z3.Solver()
    states = [_declare_state(system, 0)]
    choices: list[z3.ArithRef] = []
    solver.add(system.initial(states[0]))
    for index in range(depth + 1):
        solver.push()
        solver.add(z3.Not(system.invariant(states[index])))
        if _is_satisfiable(solver):
            return _extract_run(system, solver.model(), states, choices)
        solver.pop()
        solver.add(system.invariant(states[index]))
        states.append(_declare_state(system, index + 1))
        choices.append(z3.Int(f"choice@{index}"))
        solver.add(
            _create_transition_relation(
                system, states[index], states[index + 1], choices[index], index
            )
        )
    return None


def prove_inductive(system: TransitionSystem) -> Counterexample | None:
    """Return ``None`` if the invariant holds initially and every step preserves it.

    Otherwise return an initial state that violates it, or a single step that violates it from a
    state in which it holds; that state may be unreachable. Raise ``RuntimeError`` if the solver
    cannot decide.
    """
    before, after = _declare_state(system, 0), _declare_state(system, 1)
    solver = z3.Solver()
    solver.add(system.initial(before), z3.Not(system.invariant(before)))
    if _is_satisfiable(solver):
        return _extract_run(system, solver.model(), [before], [])
    choice = z3.Int("choice@0")
    solver = z3.Solver()
    solver.add(system.invariant(before), z3.Not(system.invariant(after)))
    solver.add(_create_transition_relation(system, before, after, choice, 0))
    if _is_satisfiable(solver):
        return _extract_run(system, solver.model(), [before, after], [choice])
    return None


def _is_satisfiable(solver: z3.Solver) -> bool:
    result = solver.check()
    if result == z3.unknown:
        raise RuntimeError(f"the solver returned unknown: {solver.reason_unknown()}")
    return bool(result == z3.sat)


def _declare_state(system: TransitionSystem, index: int) -> dict[str, Any]:
    return {name: z3.Const(f"{name}@{index}", sort) for name, sort in system.variables.items()}


def _create_transition_relation(
    system: TransitionSystem, before: State, after: State, choice: z3.ArithRef, index: int
) -> z3.BoolRef:
    disjuncts = []
    for number, (name, step) in enumerate(system.steps.items()):
        inputs = {key: z3.Const(f"{name}.{key}@{index}", sort) for key, sort in step.inputs.items()}
        scope = {**before, **inputs}
        updates = step.update(scope)
        unknown = set(updates) - set(system.variables)
        if unknown:
            raise KeyError(f"step {name} updates unknown variables {sorted(unknown)}")
        effects = [after[key] == updates.get(key, before[key]) for key in system.variables]
        disjuncts.append(z3.And(choice == number, step.guard(scope), *effects))
    return z3.Or(disjuncts)


def _extract_run(
    system: TransitionSystem, model: z3.ModelRef, states: list[Any], choices: list[z3.ArithRef]
) -> Counterexample:
    names = list(system.steps)
    steps = tuple(names[model.eval(choice, model_completion=True).as_long()] for choice in choices)
    values = tuple(
        {
            key: _convert_value(model.eval(value, model_completion=True))
            for key, value in state.items()
        }
        for state in states
    )
    return Counterexample(steps, values)


def _convert_value(value: Any) -> bool | int | str:
    if z3.is_bool(value):
        return bool(z3.is_true(value))
    return value.as_long() if z3.is_int_value(value) else str(value)


def _format_state(state: Mapping[str, Any]) -> str:
    return ", ".join(f"{key}={value}" for key, value in state.items()) or "no change"
