"""Message types, result codes and formats of the external and internal protocols."""
