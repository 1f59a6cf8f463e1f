"""A large deployment on one machine: real cores and controllers, hollow fronts and replicas."""
