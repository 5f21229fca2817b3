"""Inject random faults into host processes, and check what callers and servers observe."""
