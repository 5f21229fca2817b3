"""Measure the system against plain policies."""
