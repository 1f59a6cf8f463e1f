"""A deployment of pass-through fronts in the simulated world, with stand-ins and oracles."""
