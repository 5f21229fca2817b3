"""Know which engines hold which blocks of prompts."""
