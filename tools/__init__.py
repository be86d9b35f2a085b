"""Tools of the build: style checks and the one-file binary."""
