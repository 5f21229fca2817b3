"""Find the prompt parts on which engines end, and stop sending prompts that hold them."""
