"""One VM's decisions on the users' platform, on top of the scheduler."""
