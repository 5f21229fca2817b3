"""Repeat a step of a background task, whatever error one of its runs ends with."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NoReturn

from turmericproxy.logs import Part, log_event

# Delay after a failed step, so that one which always fails neither occupies the processor nor
# floods the log.
FAILED_STEP_SECONDS = 0.5


async def repeat(part: Part, name: str, step: Callable[[], Awaitable[None]]) -> NoReturn:
    """Run a step again and again until cancelled; log an error and go on.

    The step has to wait, or it keeps the event loop busy.
    """
    while True:
        try:
            await step()
        except Exception as error:  # one failed step must not end the task
            log_event(part, "background step failed", step=name, reason=repr(error))
            await asyncio.sleep(FAILED_STEP_SECONDS)
