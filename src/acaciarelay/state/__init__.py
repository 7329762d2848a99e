"""State machines and records; pure, with no input or output."""
