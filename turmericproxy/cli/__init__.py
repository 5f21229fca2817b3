"""Offer the command line."""
