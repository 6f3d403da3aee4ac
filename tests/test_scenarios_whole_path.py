"""Run the scenarios of whole_path.feature."""

from pytest_bdd import scenarios

pytest_plugins = ("scenarios.steps",)

scenarios("whole_path.feature")
