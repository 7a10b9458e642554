"""Agent process: beside one engine rank or plain service."""
