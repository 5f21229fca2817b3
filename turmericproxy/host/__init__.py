"""Assemble one host from its parts."""
