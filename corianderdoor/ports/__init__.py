"""Narrow interfaces between the core and the outside."""
