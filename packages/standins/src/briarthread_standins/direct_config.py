"""Configurations of the platform for simulated deployments."""

MODEL, DIARY = "model", "diary"
HEALTH_PATH = "/healthz"


def build_config(version: int = 1, **changes: object) -> dict[str, object]:
    """Return an operator's configuration with a stream, an unsafe and a safe route."""
    config: dict[str, object] = {
        "version": version,
        "routes": [
            build_route_row("/chat/", MODEL, "stream", resumable=True, maxAttempts=2),
            build_route_row("/book/", DIARY, "unsafe"),
            build_route_row("/list/", DIARY, "safe", maxAttempts=2),
        ],
        "services": [
            build_service_row(MODEL, engine=build_engine_row()),
            build_service_row(DIARY),
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "salon", "apiKeys": ["key-1", "key-2"]}],
    }
    return {**config, **changes}


def build_route_row(
    prefix: str, service: str, kind: str, **changes: object
) -> dict[str, object]:
    """Return one route of a configuration."""
    row = {
        "name": f"r{prefix}",
        "host": "salon.example",
        "pathPrefix": prefix,
        "type": kind,
        "timeoutMs": 4000,
        "sloMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "gapTargetMs": 120,
    }
    return {**row, **changes}


def build_service_row(name: str, **changes: object) -> dict[str, object]:
    """Return one service of a configuration."""
    return {"name": name, "maxConns": 100, "healthPath": HEALTH_PATH, **changes}


def build_engine_row() -> dict[str, object]:
    """Return the performance profile of an engine without experts."""
    return {
        "slots": 6,
        "step_ms": 5.85,
        "per_seq_ms": 0.71,
        "context_per_k": 0.07,
        "read_per_s": 61200.0,
        "pairs_per_m": 0.3,
        "chunk": 512,
        "stride": 5,
    }
