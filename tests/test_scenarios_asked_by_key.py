"""Run the scenarios of asked_by_key.feature."""

from pytest_bdd import scenarios

pytest_plugins = ("scenarios.steps",)

scenarios("asked_by_key.feature")
