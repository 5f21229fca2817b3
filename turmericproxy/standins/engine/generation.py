"""Generate text that depends on prompt, model, version and index alone."""

import hashlib


def digest_prompt(prompt: str) -> str:
    """Return a short digest of a rendered prompt."""
    return hashlib.blake2b(prompt.encode(), digest_size=16).hexdigest()


def generate_piece(prompt_digest: str, model: str, version: str, index: int) -> str:
    """Return the piece of text at an index, four characters long.

    >>> generate_piece(digest_prompt("user:hello"), "verdict", "1", 0)
    ' 7d9'
    """
    seed = f"{prompt_digest}/{model}@{version}/{index}"
    return " " + hashlib.blake2b(seed.encode(), digest_size=8).hexdigest()[:3]


def generate_text(prompt: str, model: str, version: str, count: int, start: int = 0) -> str:
    """Return the pieces from ``start`` up to ``count`` of the answer to a prompt."""
    digest = digest_prompt(prompt)
    return "".join(generate_piece(digest, model, version, n) for n in range(start, count))
