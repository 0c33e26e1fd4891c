"""Configuration distribution for a service mesh, carried by the mesh's own nodes."""

__version__ = "0.1.0"
