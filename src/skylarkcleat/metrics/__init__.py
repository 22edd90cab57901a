"""Counters, histograms and gauges of one process, for Prometheus."""

from skylarkcleat.metrics.gauge import Gauge as Gauge
from skylarkcleat.metrics.metrics import Metrics as Metrics
from skylarkcleat.metrics.metrics import create_metrics as create_metrics
