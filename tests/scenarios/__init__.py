"""Scripted scenarios: features in Gherkin, steps, and a small harness."""
