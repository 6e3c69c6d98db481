"""Small stand-ins for external systems, for tests and demos."""
