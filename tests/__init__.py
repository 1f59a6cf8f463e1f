"""Tests. Generated input is the same in every run; no verdict depends on the machine's speed."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "same-verdict",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("same-verdict")
