"""Randomized soak test of entry hosts: fault plans, callers and checks."""
