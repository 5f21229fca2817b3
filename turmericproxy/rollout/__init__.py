"""Bring engines to the weights that the operator has named."""
