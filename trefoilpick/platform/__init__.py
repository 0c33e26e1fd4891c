"""Adapter for the users' platform: its settings, store, worker entries and header names."""
