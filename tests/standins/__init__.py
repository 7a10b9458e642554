"""Small stand-ins for the platform: log, instance list, engine, weights, service."""
