"""Specify the core protocols for bounded search and induction."""
