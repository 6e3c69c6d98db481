"""The entry host: relays requests from callers to backend servers."""
