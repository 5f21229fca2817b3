"""Route client requests: filter them, forward them to an upstream, and relay the answers."""
