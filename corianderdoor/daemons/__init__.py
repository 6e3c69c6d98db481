"""Daemons: processes that connect the core to the adapters."""
