"""Load generator, cases and reports for measurements."""
