"""All steps, as one pytest plugin."""

pytest_plugins = (
    "scenarios.steps_attempts",
    "scenarios.steps_callers",
    "scenarios.steps_configuration",
    "scenarios.steps_faults",
    "scenarios.steps_load",
    "scenarios.steps_world",
)
