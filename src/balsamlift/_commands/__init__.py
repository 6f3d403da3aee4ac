"""The subcommands of the command line, one module per subcommand."""
