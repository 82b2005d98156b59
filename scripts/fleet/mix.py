"""The request classes that dandelion-load sends for each example user."""


def default_classes(user):
    """Returns streams of several lengths, plain calls and non-idempotent calls."""
    if user == "co-op":
        return _request_classes("ochre-8b", "ledger", "/deliveries", "/payouts")
    return _request_classes("panel-13b", "rounds", "/visits", "/bookings")


def streaming_classes(user, **fields):
    """Returns one class of chat streams; `fields` override its defaults."""
    model = "ochre-8b" if user == "co-op" else "panel-13b"
    return [{"name": "chat", "kind": "chat", "model": model,
             "min_prompt_bytes": 200, "max_prompt_bytes": 1200,
             "max_tokens": 64, "deadline_ms": 30000, **fields}]


def _request_classes(model, service, idempotent_path, non_idempotent_path):
    return [
        {"name": "chat", "kind": "chat", "model": model, "weight": 5,
         "min_prompt_bytes": 200, "max_prompt_bytes": 1500,
         "hot_prefixes": 12, "prefix_bytes": 1536, "max_tokens": 64,
         "deadline_ms": 30000},
        {"name": "completion", "kind": "completion", "model": model,
         "weight": 2, "min_prompt_bytes": 1000, "max_prompt_bytes": 6000,
         "max_tokens": 128, "output_tokens": 90, "deadline_ms": 60000},
        {"name": "whole", "kind": "chat", "model": model, "weight": 1,
         "stream": False, "max_tokens": 48, "deadline_ms": 30000},
        {"name": "plain", "kind": "plain", "service": service,
         "path": idempotent_path, "weight": 2, "deadline_ms": 10000},
        {"name": "once", "kind": "plain", "service": service,
         "path": non_idempotent_path, "idempotent": False, "weight": 2,
         "deadline_ms": 10000}]
