"""Learn how fast the engines of a service work at the usual speed, where they report theirs."""

from turmericproxy.placement.engines import DECODE_STEP_SECONDS, DEFAULT_TOKENS_PER_SECOND

# Samples of fewer tokens tell little of the prefill rate: most of their time is a decode step and
# transport.
MIN_RATE_SAMPLE_TOKENS = 2_000
# Factors of the prefill rate after a faster and a slower sample. The rate follows the fastest tenth
# of the samples: prompts that this host has not heard of delay the others, and a rate that is taken
# too low sends still more requests to the fastest engines.
RATE_RISE, RATE_FALL = 1.09, 1.09 ** (-1 / 9)
# Least share of the time to a first event that is taken for prefill.
MIN_PREFILL_SHARE = 0.2
# Weight of the newest sample of a figure, on a logarithmic scale.
SMOOTHING = 0.1
# Bounds of one sample as a factor of what is known, so that a stalled engine changes little.
MAX_SAMPLE_FACTOR = 2.0
# Bounds of the prefill rate as factors of the default; the highest rate seen is 2.75 times it.
MIN_RATE_FACTOR, MAX_RATE_FACTOR = 0.1, 25.0
# Assumed until streams have been observed.
DEFAULT_TOKENS_PER_EVENT = 4.0
DEFAULT_STREAM_SECONDS = 1.0
# Prompt tokens that an engine prefills between two decode steps; usual chunks have 1,024 or 2,048.
CHUNK_TOKENS = 2_048
# Weight that older streams keep in the fit of gaps to running requests: 50 of them count.
FIT_DECAY = 0.98
# Bound of the increase of a gap for each running request, as a share of the gap; the highest one
# seen is 0.022.
MAX_GROWTH_SHARE = 0.1
# Requests of the assumed samples from which the fit starts.
ASSUMED_REQUESTS = (0, 16)


class ServiceSpeeds:
    """Hold what the engines of a service have in common; at least one reports its slowdown.

    Figures are of an engine of slowdown 1. ``usual_slowdown`` is the median of the engines,
    ``event_seconds`` the gap between two events while an engine runs nothing else,
    ``event_seconds_per_request`` its increase for each running request, ``stream_seconds`` the
    duration of a stream, and ``prompt_tokens`` the mean size of the prompt of a prefilled token.
    """

    def __init__(self) -> None:
        self.usual_slowdown = 1.0
        self.tokens_per_second = DEFAULT_TOKENS_PER_SECOND
        self.tokens_per_event = DEFAULT_TOKENS_PER_EVENT
        self.event_seconds = DEFAULT_TOKENS_PER_EVENT * DECODE_STEP_SECONDS
        self.event_seconds_per_request = 0.0
        self.stream_seconds = DEFAULT_STREAM_SECONDS
        self.prompt_tokens = 0.0
        self._sums = (0.0, 0.0, 0.0, 0.0, 0.0)
        for requests in ASSUMED_REQUESTS:
            self._add_sample(requests, self.event_seconds)

    def record_prefill(self, tokens: int, seconds: float, slowdown: float) -> None:
        """Record that an engine needed ``seconds`` until the first event after those tokens."""
        if tokens < MIN_RATE_SAMPLE_TOKENS:
            return
        # The steps of the first event aren't part of the prefill; at least a fifth of the time is.
        seconds = max(MIN_PREFILL_SHARE * seconds, seconds - self.event_seconds * slowdown)
        if seconds <= 0:
            return
        is_faster = tokens / seconds * slowdown > self.tokens_per_second
        rate = self.tokens_per_second * (RATE_RISE if is_faster else RATE_FALL)
        least, most = (f * DEFAULT_TOKENS_PER_SECOND for f in (MIN_RATE_FACTOR, MAX_RATE_FACTOR))
        self.tokens_per_second = min(most, max(least, rate))

    def record_prompt(self, tokens: int) -> None:
        """Record the tokens that an engine has to prefill for a prompt."""
        known = self.prompt_tokens
        # Each sample counts as often as it has tokens, since gaps of streams meet long ones more.
        weight = SMOOTHING * tokens / max(1.0, known, tokens)
        self.prompt_tokens = known + weight * (tokens - known)

    def record_stream(self, gap: float, requests: int, seconds: float, slowdown: float) -> None:
        """Record the usual gap and the duration of a stream beside that many requests."""
        expected = self.event_seconds + self.event_seconds_per_request * requests
        least, most = expected / MAX_SAMPLE_FACTOR, expected * MAX_SAMPLE_FACTOR
        self._add_sample(requests, min(most, max(least, gap / slowdown)))
        self._fit()
        if seconds > 0:
            self.stream_seconds = smooth(self.stream_seconds, seconds / slowdown)

    def record_events(self, output_tokens: int, events: int) -> None:
        """Record the number of events of a whole stream with that many declared tokens."""
        if output_tokens > 0 and events > 0:
            self.tokens_per_event = max(
                1.0, smooth(self.tokens_per_event, max(1.0, output_tokens / events))
            )

    def _add_sample(self, requests: int, gap: float) -> None:
        sample = (1.0, requests, gap, requests * requests, requests * gap)
        count, n, y, nn, ny = (
            FIT_DECAY * total + value for total, value in zip(self._sums, sample, strict=True)
        )
        self._sums = (count, n, y, nn, ny)

    def _fit(self) -> None:
        """Fit gaps to running requests by least squares, with a bounded slope."""
        count, n, y, nn, ny = self._sums
        spread = nn - n * n / count
        slope = (ny - n * y / count) / spread if spread > 0 else 0.0
        slope = min(MAX_GROWTH_SHARE * y / count, max(0.0, slope))
        self.event_seconds = max(1e-6, (y - slope * n) / count)
        self.event_seconds_per_request = slope


def smooth(known: float, sample: float) -> float:
    """Return a positive figure after one more sample of it."""
    factor = min(MAX_SAMPLE_FACTOR, max(1 / MAX_SAMPLE_FACTOR, sample / known))
    return float(known * factor**SMOOTHING)
