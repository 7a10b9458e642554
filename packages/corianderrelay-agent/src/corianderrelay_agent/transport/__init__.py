"""Sockets, HTTP and the adapters of the platform's services."""
