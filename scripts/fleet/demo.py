"""Runs both example deployments, sends requests and prints their charges."""

import http.client
import json
import pathlib
import sys
import tempfile
import time

from fleet import mix
from fleet.deployment import Deployment
from fleet.load import Load
from fleet.processes import StartError

RATE_PER_S = 25
DURATION_MS = 6000
# Applies from the start of the deployment; an accepted change alone is in
# force within 4 s.
IN_FORCE_TIMEOUT_SECONDS = 20


def print_command_output(command, output):
    print(f"$ {command}")
    print("\n".join("  " + line for line in output.rstrip().splitlines()))


def run_and_print_ctl(deployment, *arguments):
    print_command_output("dandelionctl " + " ".join(arguments),
                         deployment.ctl(*arguments))


def print_stream(deployment, account, model):
    """Sends one streaming request and prints the response."""
    router = deployment.instances[0].router_address
    body = json.dumps({"model": model, "stream": True, "max_tokens": 4,
                       "messages": [{"role": "user", "content": "Which red?"}]})
    host, port = router.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection.request("POST", "/v1/chat/completions", body, {
        "Authorization": f"Bearer {deployment.account_key(account)}",
        "Content-Type": "application/json"})
    response = connection.getresponse()
    print_command_output(f"curl -N {router}/v1/chat/completions -d '{body}'",
                         response.read().decode())
    connection.close()


def wait_until_in_force(deployment):
    """Waits until the accepted configuration is in force in every process.

    Returns the output of `dandelionctl status`; raises StartError after
    IN_FORCE_TIMEOUT_SECONDS.
    """
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
    while True:
        try:
            return deployment.ctl("status")
        except StartError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.2)


def run_user(user, port_base, folder):
    """Runs one user's deployment; returns the result of dandelion-load."""
    print(f"== {user}: 3 availability zones, 9 entry instances")
    with Deployment(user, port_base, folder) as deployment:
        deployment.start()
        account = deployment.inventory["accounts"][0]["id"]
        model = deployment.inventory["services"][0]["models"][0]["id"]
        print_command_output("dandelionctl status",
                             wait_until_in_force(deployment))
        print_stream(deployment, account, model)
        plan = deployment.load_plan(
            classes=mix.default_classes(user),
            phases=[{"duration_ms": DURATION_MS, "rate_per_s": RATE_PER_S}])
        with Load(deployment, plan) as load:
            result = load.wait_for_result(timeout=120)
        run_and_print_ctl(deployment, "account", "show", account)
        run_and_print_ctl(deployment, "charges", account)
        run_and_print_ctl(deployment, "members")
    return result


def main():
    port_base = int(sys.argv[1]) if len(sys.argv) > 1 else 20000
    complete = refused = wrong = 0
    with tempfile.TemporaryDirectory(prefix="dandelion-demo-") as folder:
        for user in ("co-op", "khangai"):
            result = run_user(user, port_base, pathlib.Path(folder) / user)
            complete += result["complete"]
            refused += result["refused_not_run"] + result["refused_maybe_run"]
            wrong += (result["wrong_answers"] + result["no_answer"]
                      + result["ran_though_refused"])
    print(f"demo: complete {complete} refused {refused} wrong {wrong}")
    return 0 if wrong == 0 and complete >= 100 else 1


if __name__ == "__main__":
    sys.exit(main())
