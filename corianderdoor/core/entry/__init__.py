"""Decision logic of an entry host, without input or output."""
