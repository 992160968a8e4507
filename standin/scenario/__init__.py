"""A small test language: faults and expectations, one scenario a file."""
