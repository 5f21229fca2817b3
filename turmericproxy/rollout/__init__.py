"""Bring engines to the versions of weights that the operator has set."""
