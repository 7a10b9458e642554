"""Stand-ins for the platform: log, instance list, engine, weight store, services."""
