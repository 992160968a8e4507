"""What lives as long as one connection to a peer, a caller or an upstream."""
