"""Measurements that compare within one run, since machines are noisy."""
