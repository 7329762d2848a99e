"""Scheduling decisions; pure, with time and randomness passed in."""
