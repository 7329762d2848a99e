"""Adapters to endpoints, one kind in each module."""
