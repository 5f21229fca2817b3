"""Decode JSON that other programs have sent."""

import json
from typing import Any


def decode_json(data: bytes | str) -> Any:
    """Return the value of a JSON text; raise ``ValueError`` if it is invalid or nested too deeply.

    >>> decode_json(b'{"a": [1]}')
    {'a': [1]}
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("the JSON text is nested too deeply") from error
