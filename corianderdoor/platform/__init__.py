"""Translates the platform's names, formats and calls at this boundary.

Code outside this package does not use the platform's terms, and code in it
makes no routing decisions.
"""
