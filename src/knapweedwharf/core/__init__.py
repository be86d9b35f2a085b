"""The scheduler as a pure state machine: no I/O and no clock."""
