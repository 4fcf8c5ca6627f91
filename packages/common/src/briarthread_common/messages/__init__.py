"""The typed messages that processes send to one another."""
