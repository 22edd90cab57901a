"""Estimation of run times and runner speeds from measured runs.

A task's run time is modelled as its work divided by its runner's speed. The
work is predicted from the declared size by a regression of logarithms for
each profile: the less accurate a profile's declarations are, the closer the
prediction stays to the profile's mean. With logarithms, one task that takes
several seconds doesn't outweigh many short ones.
"""

from __future__ import annotations

import math

# The mean run time that is assumed before the first run.
DEFAULT_RUN_MS = 300.0

# Shorter runs count as this long, since the logarithm of 0 is undefined.
_MIN_RUN_MS = 0.1

# The least weights of a new sample in the moving averages: of the speed, by
# drift (slow) and by sudden change (fast), and of the run time models. While
# there are few samples, each one weighs more.
_SLOW_STEP = 1 / 64
_FAST_STEP = 1 / 6
_MODEL_STEP = 1 / 256

# When the fast average differs from the slow one by more than this, as a
# logarithm, the speed has changed suddenly: the slow average is set to the
# fast one and continues as if it had this many samples.
_JUMP_THRESHOLD = 1.4
_COUNT_AFTER_JUMP = 6

# The variance of the sizes is taken to be at least this much, which keeps the
# slope finite when all declared sizes are equal.
_MIN_VARIANCE = 1e-6

# The variance and covariance before the first sample, which make the slope 1.
_PRIOR_VARIANCE = 1.0


class SpeedEstimate:
    """A moving average of a runner's log speed that follows sudden changes."""

    __slots__ = ("_count", "_fast", "_slow")

    def __init__(self, initial: float = 0.0):
        self._count = 0
        self._slow = initial
        self._fast = initial

    @property
    def value(self) -> float:
        """The estimate, as a logarithm."""
        return self._slow

    def add(self, value: float) -> None:
        """Adds one sample, as a logarithm."""
        self._count += 1
        step = max(_SLOW_STEP, 1 / (self._count + 1))
        self._slow += (value - self._slow) * step
        self._fast += (value - self._fast) * max(_FAST_STEP, step)
        if abs(self._fast - self._slow) > _JUMP_THRESHOLD:
            self._slow = self._fast
            self._count = _COUNT_AFTER_JUMP


class _Regression:
    """Predicts the logarithm of the work from that of the declared size."""

    __slots__ = (
        "_count",
        "_covariance",
        "_mean_x",
        "_mean_y",
        "_residual_variance",
        "_variance",
    )

    def __init__(self, mean: float):
        self._count = 0
        self._mean_x = mean
        self._mean_y = mean
        self._variance = _PRIOR_VARIANCE
        self._covariance = _PRIOR_VARIANCE
        self._residual_variance = 0.0

    def predict(self, x: float) -> float:
        slope = self._covariance / max(self._variance, _MIN_VARIANCE)
        slope = min(1.0, max(0.0, slope))
        return self._mean_y + slope * (x - self._mean_x)

    def find_residual_variance(self) -> float:
        """Returns the variance of the prediction error."""
        return self._residual_variance

    def add(self, x: float, y: float) -> None:
        self._count += 1
        step = max(_MODEL_STEP, 1 / (self._count + 4))
        residual = y - self.predict(x)
        self._residual_variance += (
            residual * residual - self._residual_variance
        ) * step
        dx = x - self._mean_x
        dy = y - self._mean_y
        self._mean_x += dx * step
        self._mean_y += dy * step
        self._variance += (dx * dx - self._variance) * step
        self._covariance += (dx * dy - self._covariance) * step


class RunTimeModel:
    """Predicts the run times of each profile's tasks on a runner of speed 1."""

    def __init__(self):
        self._declared: dict[str, _Regression] = {}
        self._undeclared: dict[str, _Regression] = {}
        self._mean_ms = DEFAULT_RUN_MS
        self._count = 0

    def estimate_ms(self, profile: str, size_ms: float) -> float:
        """Returns the expected run time on a runner of speed 1.

        Args:
            profile: The profile's name.
            size_ms: The declared run time in milliseconds; 0 if unknown.
        """
        model = self._find(profile, size_ms).get(profile)
        if model is None:
            return size_ms or self._mean_ms
        log = model.predict(_log_size(size_ms))
        return math.exp(log + model.find_residual_variance() / 2)

    def get_mean_ms(self) -> float:
        """Returns the mean run time of all tasks on a runner of speed 1."""
        return self._mean_ms

    def learn(
        self, profile: str, size_ms: float, run_ms: float, speed: float
    ) -> float:
        """Records one run and returns a sample of the runner's speed.

        Args:
            profile: The profile's name.
            size_ms: The declared run time in milliseconds; 0 if unknown.
            run_ms: The run time measured, in milliseconds.
            speed: The current estimate of the runner's speed.

        Returns:
            The logarithm of the speed at which the prediction would be exact.
        """
        log_run = math.log(max(run_ms, _MIN_RUN_MS))
        log_work = log_run + math.log(speed)
        self._count += 1
        step = max(_MODEL_STEP, 1 / (self._count + 4))
        self._mean_ms += (run_ms * speed - self._mean_ms) * step
        log_size = _log_size(size_ms)
        table = self._find(profile, size_ms)
        model = table.get(profile)
        if model is None:
            model = table[profile] = _Regression(math.log(self._mean_ms))
        expected = model.predict(log_size)
        model.add(log_size, log_work)
        return expected - log_run

    def _find(self, profile: str, size_ms: float) -> dict[str, _Regression]:
        return self._declared if size_ms > 0 else self._undeclared


def _log_size(size_ms: float) -> float:
    return math.log(size_ms) if size_ms > 0 else 0.0
