"""The entry host: callers on one side, backend servers on the other."""
