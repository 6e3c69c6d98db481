"""Specifications of the core protocols for a model checker."""
