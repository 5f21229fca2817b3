"""Split prompts into blocks and identify each by a hash that includes the preceding blocks."""

import hashlib
from collections.abc import Iterable, Mapping

CHARACTERS_PER_TOKEN = 4
TOKENS_PER_BLOCK = 2_000
CHARACTERS_PER_BLOCK = CHARACTERS_PER_TOKEN * TOKENS_PER_BLOCK
HASH_BYTES = 16


def render_prompt(messages: Iterable[Mapping[str, str]]) -> str:
    r"""Return the text of the messages in the form that engines tokenize.

    >>> render_prompt([{"role": "user", "content": "Which notes are flat?"}])
    'user:Which notes are flat?\n'
    """
    return "".join(f"{message['role']}:{message['content']}\n" for message in messages)


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text, rounded up.

    >>> count_tokens("abcde")
    2
    """
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def hash_blocks(prompt: str, salt: str, model: str, version: str) -> tuple[str, ...]:
    """Return the chained hashes of a prompt's full blocks, the first block first.

    Each hash covers its block, all preceding ones, the salt, the model and its version. A partial
    block at the end has no hash.
    """
    parent = f"{model}@{version}"
    hashes = []
    for start in range(0, len(prompt) - CHARACTERS_PER_BLOCK + 1, CHARACTERS_PER_BLOCK):
        parent = _hash_block(parent, salt, prompt[start : start + CHARACTERS_PER_BLOCK])
        hashes.append(parent)
    return tuple(hashes)


def _hash_block(parent: str, salt: str, text: str) -> str:
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    for field in (parent, salt, text):
        digest.update(len(field).to_bytes(4, "big"))
        digest.update(field.encode())
    return digest.hexdigest()
