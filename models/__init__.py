"""Specifications for the model checker."""
