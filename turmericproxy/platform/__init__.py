"""Adapter between the host and the users' platform; it only converts data and decides nothing."""
