"""Stand-ins for the cases 6 to 10: the platform, its store, servers and clients.

They use the standard library only. All addresses are loopback addresses.
"""
