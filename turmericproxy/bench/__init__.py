"""Run local clusters of real processes and measure them."""
