"""The subcommands; each module adds its parsers and has the functions to run."""
