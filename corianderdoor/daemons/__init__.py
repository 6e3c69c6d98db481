"""Processes that wire the core to adapters."""
