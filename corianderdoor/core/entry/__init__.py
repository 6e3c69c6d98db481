"""What an entry host decides about requests, servers and its peers."""
