"""The services text: sections, parsing, checks."""
