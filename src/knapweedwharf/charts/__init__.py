"""State charts in YAML files and the code that interprets them."""
