"""What lives as long as one accepted version of the configuration."""
