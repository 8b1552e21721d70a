"""Load generator: seeded request plans, open- and closed-loop sending, and latency quantiles."""

from ternlane.load.arrivals import Bursty, Diurnal, poisson, recorded, thinned
from ternlane.load.load_config import ArrivalsConfig, LoadConfig, RequestClassLoad
from ternlane.load.plan import PlannedRequest, arrival_times, planned_requests
from ternlane.load.sketch import QuantileSketch

__all__ = [
    "ArrivalsConfig",
    "Bursty",
    "Diurnal",
    "LoadConfig",
    "PlannedRequest",
    "QuantileSketch",
    "RequestClassLoad",
    "arrival_times",
    "planned_requests",
    "poisson",
    "recorded",
    "thinned",
]
