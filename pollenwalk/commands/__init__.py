"""The command line and its subcommands.

Each module of subcommands defines `add_parser`, and a function for each
subcommand that returns the exit code.
"""
