"""The HTTP server and client sides, behind two small interfaces."""
