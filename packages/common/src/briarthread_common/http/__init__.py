"""HTTP server and client."""
