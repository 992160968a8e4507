"""What the cases of the review share: a small deployment on loopback addresses."""
