"""Start clusters for scenarios."""

from behave import given


@given("a {plan} cluster")
@given("an {plan} cluster")
def use_cluster(context, plan):
    context.cluster = context.pool.get(plan)
