"""What runs beside the daemon, in the process of an application."""
