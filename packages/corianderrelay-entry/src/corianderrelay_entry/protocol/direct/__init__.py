"""Messages that entries of a direct deployment exchange."""
