"""The scheduling role of a data centre around the decision core."""
