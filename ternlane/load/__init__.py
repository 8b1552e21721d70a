"""The load tool: what is asked and when, sent in time whatever the answers do, and honest figures of it."""

from ternlane.load.arrivals import Bursty, Diurnal, poisson, recorded, thinned
from ternlane.load.plan import Ask, LoadConfig, asks, times_of
from ternlane.load.sketch import Sketch

__all__ = ["Ask", "Bursty", "Diurnal", "LoadConfig", "Sketch", "asks", "poisson", "recorded", "thinned", "times_of"]
