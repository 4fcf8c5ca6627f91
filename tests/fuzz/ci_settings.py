"""Hypothesis settings for CI, which generate the same examples in every run."""

from hypothesis import HealthCheck, settings

CI_SETTINGS = settings(
    max_examples=40,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
