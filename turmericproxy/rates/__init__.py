"""Keep each client account within its rate and burst over all hosts together."""

from turmericproxy.rates.controller import BucketReport, Grant, RateController

__all__ = ["BucketReport", "Grant", "RateController"]
