"""Connections to callers, peers, endpoints and the platform."""
