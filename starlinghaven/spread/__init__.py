"""Even load on sparse evidence: reports, estimates, shares and the exchange that carries them. No I/O."""
