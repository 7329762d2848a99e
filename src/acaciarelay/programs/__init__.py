"""The programs and the parts they are wired from."""
