"""The fronts: each speaks one protocol with clients and passes their requests to the engine."""
