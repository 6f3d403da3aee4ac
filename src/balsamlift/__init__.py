"""Serve generations of unknown length on crowded engines."""
