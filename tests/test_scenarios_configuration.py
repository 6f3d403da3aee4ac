"""Run the scenarios of configuration.feature."""

from pytest_bdd import scenarios

pytest_plugins = ("scenarios.steps",)

scenarios("configuration.feature")
