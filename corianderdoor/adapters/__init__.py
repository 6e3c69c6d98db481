"""Implementations of the ports over network protocols."""
