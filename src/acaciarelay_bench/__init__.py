"""Load generator, cases and reports for performance measurements."""
