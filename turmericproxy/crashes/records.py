"""Encode blocks as rows of a table, so that they outlast a restart of all hosts."""

import json
from hashlib import blake2b
from typing import NamedTuple

from turmericproxy.core import ModelName
from turmericproxy.core.documents import decode_json
from turmericproxy.crashes.blocks import MAX_BLOCK_SECONDS, Block
from turmericproxy.crashes.evidence import MAX_PARTS_PER_PROMPT, MAX_TEXT_LENGTH
from turmericproxy.logs import Part, log_event
from turmericproxy.tables.messages import Row

BLOCK_TABLE = "blocked"
KEY_BYTES = 16


class BlockRecord(NamedTuple):
    """Hold a block as stored; ``until`` is by the store's clock, in seconds."""

    model: ModelName
    parts: frozenset[str]
    until: float
    failed_trials: int


def compute_row_key(block: Block) -> str:
    """Return the key of a block's row; names of blocks may be longer than keys."""
    return blake2b(block.name.encode(), digest_size=KEY_BYTES).hexdigest()


def encode_block(block: Block, until: float) -> bytes:
    """Return the value of a block's row."""
    content = {
        "model": block.model,
        "parts": sorted(block.parts),
        "until": until,
        "failed_trials": block.failed_trials,
    }
    return json.dumps(content).encode()


def decode_block(row: Row) -> BlockRecord | None:
    """Return the block in a row; log an invalid one and return ``None``."""
    try:
        content = decode_json(row.value)
        parts = content["parts"]
        texts = [content["model"], *parts]
        if not parts or len(parts) > MAX_PARTS_PER_PROMPT:
            raise ValueError("no parts, or too many")
        if not all(isinstance(text, str) and len(text) <= MAX_TEXT_LENGTH for text in texts):
            raise ValueError("not a text, or too long")
        until, failed_trials = float(content["until"]), int(content["failed_trials"])
        if not abs(until) < float("inf") or failed_trials < 0:
            raise ValueError("not a time, or a negative count")
    except (ValueError, KeyError, TypeError, OverflowError) as error:
        log_event(Part.ROUTING, "invalid row of a block", key=row.key, reason=repr(error))
        return None
    return BlockRecord(ModelName(content["model"]), frozenset(parts), until, failed_trials)


def restore_block(record: BlockRecord, store_clock: float, now: float) -> Block:
    """Return the block of a record; ``now`` is of the event loop."""
    seconds = min(MAX_BLOCK_SECONDS, max(0.0, record.until - store_clock))
    return Block(record.model, record.parts, now + seconds, record.failed_trials, is_stored=True)
