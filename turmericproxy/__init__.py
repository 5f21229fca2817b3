"""Route language-model traffic with long shared prompts."""
