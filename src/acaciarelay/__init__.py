"""Request scheduler between callers and unlike endpoints."""
