"""Benchmarks of trefoilpick. All timing measurements are here."""
