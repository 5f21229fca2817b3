"""Stand in for the outside systems by speaking their protocols."""
