"""Translate between this project and the users' platform; nothing is decided here."""
