"""Runs one scenario against the real programs; see scripts/bench --help."""

import argparse
import json
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import traceback

from fleet.deployment import Deployment
from fleet.load import Load
from fleet.processes import BUILD, ROOT
from fleet.scenarios import SCENARIOS

LEASE_POLICIES = ("demand", "fixed_split", "per_request")
ROUTING_POLICIES = ("affinity", "random", "least_in_flight", "two_choices")
# Result fields that count broken guarantees; each must be 0.
VIOLATION_FIELDS = ("no_answer", "wrong_answers", "ran_though_refused",
                    "billed_twice", "unbilled", "overspent_tokens", "ran_twice")
RESULT_TIMEOUT_SECONDS = 200  # added to the duration of the load


def parse_arguments():
    parser = argparse.ArgumentParser(prog="scripts/bench", description=__doc__)
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--user", choices=("co-op", "khangai"),
                        default="co-op")
    parser.add_argument("--policy", choices=LEASE_POLICIES + ROUTING_POLICIES,
                        help="overrides the example's lease or routing policy")
    parser.add_argument("--rate", type=float, help="requests per second")
    parser.add_argument("--port-base", type=int, default=20000,
                        help="first of 500 ports on loopback")
    parser.add_argument("--keep", metavar="FOLDER",
                        help="keep settings and logs in FOLDER")
    return parser.parse_args()


def policy_rules(policy):
    if policy in LEASE_POLICIES:
        return {"lease_policy": policy}
    return {"routing_policy": policy} if policy else {}


def run(options, folder):
    scenario = SCENARIOS[options.scenario](options)
    settings = scenario.deployment_arguments()
    with Deployment(options.user, options.port_base, folder,
                    rules=policy_rules(options.policy), seed=options.seed,
                    **settings) as deployment:
        deployment.start()
        with Load(deployment, scenario.load_plan(deployment)) as load:
            scenario.inject_faults(deployment, load)
            result = load.wait_for_result(
                scenario.duration_seconds + RESULT_TIMEOUT_SECONDS)
        scenario.add_results(deployment, result)
    return result


def current_commit():
    completed = subprocess.run(["git", "-C", str(ROOT), "rev-parse", "--short",
                                "HEAD"], capture_output=True, text=True,
                               check=False)
    return completed.stdout.strip()


def write_result(options, result):
    result = {"scenario": options.scenario, "user": options.user,
              "seed": options.seed, "policy": options.policy or "example",
              "commit": current_commit(), **result}
    folder = BUILD / "bench"
    folder.mkdir(parents=True, exist_ok=True)
    text = json.dumps(result, indent=2) + "\n"
    (folder / f"{options.scenario}.json").write_text(text)
    name = "-".join([options.scenario, options.user, result["policy"],
                     f"seed{options.seed}"])
    (folder / f"{name}.json").write_text(text)


def format_summary(options, result):
    fields = ["sent", "complete", "refused_not_run", "refused_maybe_run",
              "false_refusals", *VIOLATION_FIELDS, "stranded_tokens", "rerun"]
    scenario_fields = {
        "config-race": ["accepted_changes", "in_force_max_ms", "reverts",
                        "lost_changes"],
        "leaving-backend": ["last_new_request_ms"],
        "rolling-restart": ["streams_cut", "exit_statuses"],
        "crash-request": ["marked_bodies", "backends_crashed"],
        "budget-end": ["false_refusals_beyond_bound",
                       "spent_share_at_first_refusal", "spent_share_at_end"]}
    fields += scenario_fields.get(options.scenario, [])
    parts = [f"{name}={result.get(name)}" for name in fields]
    parts += [f"ttft_p95_ms={result['ttft_ms']['p95']}",
              f"codes={json.dumps(result['refusals_by_code'])}"]
    return (f"bench {options.scenario} {options.user} seed {options.seed} "
            f"{options.policy or 'example'}: " + " ".join(parts))


def main():
    options = parse_arguments()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    folder = pathlib.Path(options.keep or
                          tempfile.mkdtemp(prefix="dandelion-bench-"))
    shutil.rmtree(folder, ignore_errors=True)
    try:
        result = run(options, folder)
    except Exception:  # printed; the processes have been stopped
        traceback.print_exc()
        print(f"bench {options.scenario}: did not run")
        return 1
    finally:
        if not options.keep:
            shutil.rmtree(folder, ignore_errors=True)
    write_result(options, result)
    print(format_summary(options, result))
    return 0 if all(result[name] == 0 for name in VIOLATION_FIELDS) else 3


if __name__ == "__main__":
    sys.exit(main())
