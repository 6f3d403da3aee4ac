"""Run the scenarios of streams.feature."""

from pytest_bdd import scenarios

pytest_plugins = ("scenarios.steps",)

scenarios("streams.feature")
