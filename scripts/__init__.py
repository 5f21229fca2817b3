"""Run the demonstration and the test suites."""
