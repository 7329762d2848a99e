"""Typed messages, codes and formats on the wire."""
