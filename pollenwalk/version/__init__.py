"""The declared configuration, of which one accepted version is in force."""
