"""Limits of targets: stated rates, backoffs, and the rates of cold targets."""
