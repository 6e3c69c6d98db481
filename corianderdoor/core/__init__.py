"""Decisions of the router fleet, free of input and output."""
