"""The entry of briarthread and the operator's commands."""
