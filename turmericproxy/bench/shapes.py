"""Describe the workloads of the users at a scale that fits one machine."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AccountShape:
    """Describe a client account by its share of the requests."""

    name: str
    share: float


@dataclass(frozen=True)
class Shape:
    """Describe a user's traffic; sizes are in tokens and times in seconds.

    A subject is a case or grant about which requests are made. ``shared_levels`` are the lengths
    of the prefix levels that the subjects of an account share, outermost first; each level but the
    first has ``variants`` different texts. ``hot_subjects`` subjects at a time get ``hot_share`` of
    the requests, and they change every ``hot_shift`` seconds. In the middle of a run,
    ``noisy_account`` sends at ``noisy_factor`` times its usual rate.
    """

    name: str
    model: str
    accounts: tuple[AccountShape, ...]
    shared_levels: tuple[int, ...]
    variants: int
    subject_tokens: tuple[int, int]
    question_tokens: tuple[int, int]
    answer_tokens: tuple[int, int]
    subjects: int
    hot_subjects: int
    hot_share: float
    hot_shift: float
    requests_per_second: float
    booking_share: float
    engines: int
    services: int
    prefill_rate: float
    capacity_blocks: int
    noisy_account: str
    noisy_factor: float = 5.0


AFINACIONES = Shape(
    name="afinaciones",
    model="verdict",
    accounts=(
        AccountShape("lima", 0.40),
        AccountShape("callao", 0.25),
        AccountShape("schools", 0.17),
        AccountShape("churches", 0.10),
        AccountShape("concerts", 0.08),
    ),
    shared_levels=(6_300,),
    variants=1,
    subject_tokens=(3_000, 7_000),
    question_tokens=(40, 300),
    answer_tokens=(6, 14),
    subjects=24,
    hot_subjects=2,
    hot_share=0.5,
    hot_shift=5.0,
    requests_per_second=24.0,
    booking_share=0.12,
    engines=6,
    services=3,
    prefill_rate=30_000.0,
    capacity_blocks=64,
    noisy_account="churches",
)

SATNICA = Shape(
    name="satnica",
    model="allocation",
    accounts=(
        AccountShape("physics", 0.38),
        AccountShape("biology", 0.27),
        AccountShape("history", 0.15),
        AccountShape("geology", 0.11),
        AccountShape("robotics", 0.09),
    ),
    shared_levels=(8_400, 4_200),
    variants=3,
    subject_tokens=(2_500, 5_000),
    question_tokens=(40, 300),
    answer_tokens=(6, 14),
    subjects=12,
    hot_subjects=1,
    hot_share=0.5,
    hot_shift=6.0,
    requests_per_second=16.0,
    booking_share=0.2,
    engines=5,
    services=3,
    prefill_rate=30_000.0,
    capacity_blocks=72,
    noisy_account="geology",
)

SHAPES = {shape.name: shape for shape in (AFINACIONES, SATNICA)}
