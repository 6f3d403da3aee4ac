"""Hypothesis settings of all tests: reproducible and without deadlines."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")
