#!/usr/bin/env python3
"""Writes examples/: inventory and rules of both example deployments."""

import hashlib
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
BASE_PORT = 20000
FIRST_BACKEND_PORT = BASE_PORT + 100


def demo_key(account):
    """Returns the API key of a client account in the examples."""
    return f"{account}.demo-secret"


def account(name, tokens, weight=1, reserve_ms=0, extra_budgets=()):
    budgets = [{"name": "default", "granted": tokens}]
    if reserve_ms:
        budgets[0]["reserve_ms"] = reserve_ms
    budgets += [{"name": n, "granted": g} for n, g in extra_budgets]
    digest = hashlib.sha256(demo_key(name).encode()).hexdigest()
    return {"id": name, "key_sha256": [digest], "budgets": budgets,
            "weight": weight}


def backends(service, prefix, count, zones, slots, first_index,
             checks_fencing):
    result = []
    for i in range(count):
        port = FIRST_BACKEND_PORT + 2 * (first_index + i)
        result.append({
            "id": f"{prefix}-{i + 1:02d}", "service": service,
            "zone": zones[i % len(zones)], "address": f"127.0.0.1:{port}",
            "slots": slots, "checks_fencing": checks_fencing(i)})
    return result


def regions(region_ids):
    return [{"id": region_id, "zones": [f"{region_id}-a"]}
            for region_id in region_ids]


def zones(region_ids):
    return [f"{region_id}-a" for region_id in region_ids]


def co_op():
    region_ids = ["gwynedd", "ceredigion", "powys"]
    inventory = {
        "regions": regions(region_ids),
        "services": [
            {"id": "assay-llm", "kind": "model",
             "models": [{"id": "ochre-8b", "version": "1",
                         "template_tokens": 16, "max_output_tokens": 512}],
             "default_deadline_ms": 60000, "queue_limit": 200},
            {"id": "ledger", "kind": "plain", "default_deadline_ms": 10000,
             "queue_limit": 100, "non_idempotent_paths": ["/payouts"],
             "tokens_per_request": 0}],
        "backends":
            backends("assay-llm", "assay", 20, zones(region_ids), 8, 0,
                     lambda i: i % 2 == 0) +
            backends("ledger", "ledger", 3, zones(region_ids), 16, 20,
                     lambda i: False),
        "accounts": [
            account("certificates", 4000000, weight=4),
            account("buyers", 3000000, weight=2),
            account("photo-tags", 2000000, weight=2),
            account("assay-notes", 1500000),
            account("restorers", 600000),
            account("potters", 400000),
            account("painters", 400000),
            account("members", 300000),
            account("school", 100000),
            account("archive", 100000)]}
    rules = {"lease_policy": "demand", "reserve_ms": 120000,
             "routing_policy": "affinity", "cross_zone": "when_local_full",
             "cross_region": "when_local_full", "retry_budget_percent": 10,
             "quarantine_ms": 600000}
    return inventory, rules


def khangai():
    region_ids = ["ulaanbaatar", "darkhan", "erdenet"]
    inventory = {
        "regions": regions(region_ids),
        "services": [
            {"id": "assessment", "kind": "model",
             "models": [{"id": "panel-13b", "version": "1",
                         "template_tokens": 16, "max_output_tokens": 512}],
             "default_deadline_ms": 120000, "queue_limit": 300},
            {"id": "rounds", "kind": "plain", "default_deadline_ms": 10000,
             "queue_limit": 100,
             "non_idempotent_paths": ["/bookings", "/captures"],
             "tokens_per_request": 0}],
        "backends":
            backends("assessment", "panel", 10, zones(region_ids), 8, 0,
                     lambda i: False) +
            backends("rounds", "rounds", 3, zones(region_ids), 16, 10,
                     lambda i: False),
        "accounts": [
            account("insurer-north", 5000000, weight=4),
            account("insurer-south", 4000000, weight=4),
            account("dealership-a", 1500000, weight=2),
            account("dealership-b", 1500000, weight=2),
            account("technicians", 2000000, weight=2),
            account("quotes", 2000000, weight=2),
            account("hail-desk", 800000),
            account("fleet-owners", 500000),
            account("walk-ins", 300000),
            account("training", 100000)]}
    rules = {"lease_policy": "demand", "reserve_ms": 300000,
             "routing_policy": "affinity", "cross_zone": "when_local_full",
             "cross_region": "always", "retry_budget_percent": 10,
             "quarantine_ms": 600000}
    return inventory, rules


def main():
    for name, build in (("co-op", co_op), ("khangai", khangai)):
        folder = ROOT / "examples" / name
        folder.mkdir(parents=True, exist_ok=True)
        inventory, rules = build()
        for file, content in (("inventory", inventory), ("rules", rules)):
            text = json.dumps(content, indent=1) + "\n"
            (folder / f"{file}.json").write_text(text)


if __name__ == "__main__":
    main()
