"""State that belongs to one program and can outlive the process that holds it."""
