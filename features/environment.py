"""Set up a seeded random source per scenario, and a pool of shared clusters per feature."""

import os
import random

from features.support.clusters import ClusterPool


def before_all(context):
    context.seed = int(os.environ.get("SEED", "1"))


def before_feature(context, feature):
    context.pool = ClusterPool()


def before_scenario(context, scenario):
    print(f"seed {context.seed}")
    context.random = random.Random(f"{context.seed}/{scenario.name}")
    context.cleanups = []


def after_scenario(context, scenario):
    for clean_up in reversed(context.cleanups):
        clean_up()
    if scenario.status == "failed":
        context.pool.print_logs()
    if scenario.status == "failed" or "own_cluster" in scenario.effective_tags:
        context.pool.close()


def after_feature(context, feature):
    context.pool.close()
