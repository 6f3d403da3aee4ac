"""End-to-end scenarios in Gherkin, their steps and the test harness."""
