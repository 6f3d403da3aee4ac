"""Soak test: real daemons under randomized external faults."""
