"""Check the search against systems whose shortest counterexample is known."""

import z3

from specifications.search import Step, TransitionSystem, prove_inductive, search_bounded


def _create_system(limit: int) -> TransitionSystem:
    return TransitionSystem(
        variables={"held": z3.IntSort(), "given": z3.IntSort()},
        initial=lambda s: z3.And(s["held"] == limit, s["given"] == 0),
        steps={
            "give": Step(
                guard=lambda s: z3.And(s["amount"] > 0, s["amount"] <= s["held"]),
                update=lambda s: {
                    "held": s["held"] - s["amount"],
                    "given": s["given"] + s["amount"],
                },
                inputs={"amount": z3.IntSort()},
            ),
        },
        invariant=lambda s: z3.And(s["held"] >= 0, s["held"] + s["given"] == limit),
    )


def test_guarded_system_is_proved_safe() -> None:
    assert search_bounded(_create_system(5), depth=4) is None
    assert prove_inductive(_create_system(5)) is None


def test_missing_guard_gives_the_shortest_counterexample() -> None:
    broken = _create_system(5).replace_guard("give", lambda s: s["amount"] > 0)
    found = search_bounded(broken, depth=4)
    assert found is not None and found.steps == ("give",)
    assert found.states[1]["held"] < 0
    assert "give: held=" in str(found)
    assert prove_inductive(broken) is not None
