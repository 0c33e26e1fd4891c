"""Configuration distribution for a service mesh, done by the mesh's own nodes."""

__version__ = "0.1.0"
