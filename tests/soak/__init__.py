"""Play random faults on hosts that run as processes, and check what callers and servers see."""
