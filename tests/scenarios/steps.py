"""Load the modules of common steps as pytest plugins."""

pytest_plugins = (
    "scenarios.steps_attempts",
    "scenarios.steps_callers",
    "scenarios.steps_configuration",
    "scenarios.steps_faults",
    "scenarios.steps_load",
    "scenarios.steps_deployment",
)
