"""Assemble a host from its components and run it."""
