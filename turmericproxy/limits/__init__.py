"""Keep and use the limits that upstreams name on the requests of all hosts together."""
