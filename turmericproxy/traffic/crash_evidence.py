"""Record what an attempt shows of prompts on which engines end."""

from turmericproxy.crashes.controller import CrashController
from turmericproxy.crashes.evidence import SOUND_ANSWER_SECONDS, BrokenPrompt
from turmericproxy.traffic.attempts import AnswerPhase, Attempt, Outcome
from turmericproxy.traffic.placements import Placement


def record_crash_evidence(
    crashes: CrashController,
    placement: Placement,
    attempt: Attempt | None,
    sent_at: float,
    seconds: float,
    phase: AnswerPhase,
    head_seconds: float | None,
) -> None:
    """Record whether the prompt was answered, or broke off and may have ended its engine."""
    prompt = placement.prompt
    if prompt is None:
        return
    parts = prompt.shared_part_ids
    is_answered = (
        attempt is not None and attempt.outcome is Outcome.ANSWERED and not attempt.is_failure
    )
    has_lasted = head_seconds is not None and head_seconds >= SOUND_ANSWER_SECONDS
    if is_answered or (phase is AnswerPhase.STREAMING and has_lasted):
        crashes.record_answer(placement.engine, prompt.model, parts, sent_at)
    elif attempt is not None and attempt.outcome is Outcome.BROKEN:
        has_begun = phase is AnswerPhase.BEGUN
        if attempt.answer is None or phase is not AnswerPhase.WAITING:
            request_id = placement.request_id
            broken = BrokenPrompt(request_id, prompt.model, parts, has_begun, seconds)
            crashes.record_broken(placement.engine, broken)
