"""The core: one task that owns the Router. It knows no wire; fronts and the cache side plug in."""
