"""Run the scenarios of refused.feature."""

from pytest_bdd import scenarios

pytest_plugins = ("scenarios.steps",)

scenarios("refused.feature")
