"""State machines and record types; they perform no I/O."""
