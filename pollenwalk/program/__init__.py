"""What lives as long as one program, and may outlive a process."""
