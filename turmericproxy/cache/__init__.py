"""Track which engines have which blocks of prompts cached."""
