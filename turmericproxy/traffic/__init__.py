"""Take client requests through their filters to an upstream and bring the answers back."""
