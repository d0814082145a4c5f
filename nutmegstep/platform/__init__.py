"""Adapter to the operators' platform: its names, formats and store client."""
