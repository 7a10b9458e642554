"""What tests need to run our code for real: the reactor's loop and processes."""
