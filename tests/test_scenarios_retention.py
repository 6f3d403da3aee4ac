"""Run the scenarios of retention.feature."""

from pytest_bdd import scenarios

pytest_plugins = ("scenarios.steps",)

scenarios("retention.feature")
