"""Run the scenarios of at_most_once.feature."""

from pytest_bdd import scenarios

pytest_plugins = ("scenarios.steps",)

scenarios("at_most_once.feature")
