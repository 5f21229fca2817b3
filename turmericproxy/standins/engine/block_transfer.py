"""Export cached blocks to the platform's object store and import them again."""

import time

from turmericproxy.standins.engine.core import EngineCore
from turmericproxy.web import CallFailure, HttpClient


def export_blocks(core: EngineCore, store: HttpClient, blocks: list[str]) -> int:
    """Write the cached ones of ``blocks`` to the store and return how many were written."""
    count = 0
    for block in blocks:
        weights = core.find_weights(block)
        if weights is None:
            continue
        answer = store.call_json("PUT", f"/v1/objects/kv/{block}", {"weights": weights})
        if not isinstance(answer, CallFailure) and answer[0] < 300:
            count += 1
    return count


def import_blocks(core: EngineCore, store: HttpClient, blocks: list[str]) -> int:
    """Fetch blocks in order into the cache until one is missing; return how many were fetched."""
    count = 0
    for block in blocks:
        answer = store.call_json("GET", f"/v1/objects/kv/{block}")
        if isinstance(answer, CallFailure) or answer[0] != 200:
            break
        time.sleep(core.options.import_time)
        core.store_block(block, answer[1]["weights"])
        count += 1
    return count
