"""The subcommands, each a small function beside its parser."""
