"""The platform's names, formats and calls, translated at this boundary.

Nothing outside this package knows the platform's words, and nothing in it
decides.
"""
