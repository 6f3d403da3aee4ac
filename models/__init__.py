"""Specifications of the protocols, searched by the model checker."""
