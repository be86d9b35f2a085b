"""Build tools: formatting, style checks, reference pages, executable."""
