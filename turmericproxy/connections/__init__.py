"""Divide the connections that a server accepts among the hosts."""
