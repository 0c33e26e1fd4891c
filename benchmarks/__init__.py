"""Measurements of trefoilpick. Timings live only here."""
