"""Build the operator's configuration of a small deployment."""

from typing import Any

LLM = "afinador-llm"
PLAIN = "agenda"
MODEL = "m0"
STREAM_HOST = "notes.example"
PLAIN_HOST = "bookings.example"
KEYS = {"family": "key-family", "school": "key-school"}


def build_configuration(version: int, store: str | None = None) -> dict[str, Any]:
    """Return a configuration with a streaming, a non-idempotent and an idempotent route."""
    services: list[dict[str, Any]] = [
        {
            "name": LLM,
            "health_path": "/health",
            "max_connections": 370,
            "protocol": "h1",
            "tls": False,
            "engine": {
                "slots": 64,
                "kv_capacity_tokens": 94603,
                "kv_token_bytes": 163840,
                "link_mbps": 2200000.0,
                "max_concurrent": 12,
                "models": [{"name": MODEL}],
            },
        },
        {"name": PLAIN, "health_path": "/health", "max_connections": 110, "protocol": "h1"},
    ]
    if store:
        services.append(
            {
                "name": "prompt-vault",
                "kv_store_addr": store,
                "zone": "lima-b",
                "kv_capacity_tokens": 811316,
                "link_mbps": 210000.0,
                "max_concurrent": 12,
            }
        )
    return {
        "version": version,
        "routes": [
            {
                "name": "case-verdict",
                "host": STREAM_HOST,
                "prefix": "/verdict/",
                "route_kind": "streaming",
                "timeout_ms": 4000,
                "target_latency_ms": 600,
                "priority": 1,
                "service": LLM,
                "max_attempts": 1,
                "public": False,
                "sticky": True,
                "resumable": False,
                "gap_target_ms": 400,
            },
            {
                "name": "book-visit",
                "host": PLAIN_HOST,
                "prefix": "/book/",
                "route_kind": "non_idempotent",
                "timeout_ms": 1500,
                "target_latency_ms": 125,
                "priority": 2,
                "service": PLAIN,
                "max_attempts": 2,
                "public": False,
                "sticky": False,
            },
        ],
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": name,
                "api_keys": [key],
                "priority": 1,
                "unit": "token_accounting",
                "uncached_tokens": 200,
                "isolated": False,
                "rate_per_s": 2000000,
                "burst": 2000000,
            }
            for name, key in KEYS.items()
        ],
    }
