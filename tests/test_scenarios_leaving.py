"""Run the scenarios of leaving.feature."""

from pytest_bdd import scenarios

pytest_plugins = ("scenarios.steps",)

scenarios("leaving.feature")
