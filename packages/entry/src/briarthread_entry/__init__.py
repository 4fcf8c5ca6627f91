"""Entry of briarthread and commands for operators."""
