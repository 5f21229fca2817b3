"""Keep each client account within its rate and burst over all hosts together."""

from turmericproxy.rates.admission import Grant
from turmericproxy.rates.controller import BucketReport, RateController

__all__ = ["BucketReport", "Grant", "RateController"]
