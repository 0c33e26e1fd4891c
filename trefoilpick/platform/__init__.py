"""The users' platform: its store, its entries and its names, decoded into the product's types."""
