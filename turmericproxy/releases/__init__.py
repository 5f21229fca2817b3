"""Move the traffic of a service step by step to upstreams with another version of its software.

The package ``rollout`` is about the weights of engines instead.
"""
