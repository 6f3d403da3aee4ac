"""Run the scenarios of orders.feature."""

from pytest_bdd import scenarios

pytest_plugins = ("scenarios.steps", "scenarios.orders_steps")

scenarios("orders.feature")
