"""Adapter of the operators' platform: names and formats, no decisions."""
