"""Run the scenarios of shutdown.feature."""

from pytest_bdd import scenarios

pytest_plugins = ("scenarios.steps",)

scenarios("shutdown.feature")
