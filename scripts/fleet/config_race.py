"""Two operators change the configuration concurrently.

Meanwhile every process is polled for the version that it has in force.
"""

import http.client
import json
import threading
import time

from fleet import http as calls
from fleet.deployment import ADMIN_KEY

CHANGES_PER_OPERATOR = 30
POLL_INTERVAL_SECONDS = 0.05
CHANGE_INTERVAL_SECONDS = 1.2
OPERATOR_TIMEOUT_SECONDS = 90
EXIT_CONFLICT = 4  # dandelionctl: another operator changed the base first


class ConfigRace:
    """Runs the concurrent changes beside a load and evaluates them."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.lock = threading.Lock()
        self.accepted_at = {}      # version -> monotonic time of acceptance, s
        self.added_accounts = []   # accounts added by accepted changes
        self.version_samples = {}  # process -> [(monotonic time, version)]
        self.cut_periods = {}      # zone -> (start, end), monotonic time
        self.last_error = "the operators did not finish in time"
        self.conflicts = 0
        self.stop_event = threading.Event()

    def run(self, load):
        pollers = [threading.Thread(target=self._poll_version,
                                    args=(name, address), daemon=True)
                   for name, address in self._admin_addresses()]
        operators = [threading.Thread(target=self._run_operator, args=(name,),
                                      daemon=True) for name in ("a", "b")]
        for thread in pollers + operators:
            thread.start()
        zone = self.deployment.zones[0][0]
        load.wait_until(10)
        cut_start = time.monotonic()
        self.deployment.cut_zone(zone)
        load.wait_until(30)
        self.deployment.cut_zone(zone, cut=False)
        self.cut_periods[zone] = (cut_start, time.monotonic())
        for thread in operators:
            thread.join(OPERATOR_TIMEOUT_SECONDS)
        if len(self.accepted_at) < 2 * CHANGES_PER_OPERATOR:
            raise RuntimeError(f"only {len(self.accepted_at)} changes accepted: "
                               f"{self.last_error}")
        time.sleep(6)
        self.stop_event.set()
        for thread in pollers:
            thread.join()

    def _admin_addresses(self):
        for instance in self.deployment.instances:
            yield f"control-{instance.id}", instance.control_admin
            yield f"router-{instance.id}", instance.router_admin

    def _poll_version(self, name, address):
        samples = self.version_samples[name] = []
        while not self.stop_event.wait(POLL_INTERVAL_SECONDS):
            try:
                dump = calls.call("GET", address, "/dump", key=ADMIN_KEY)
            except calls.CallError:
                continue
            version = dump.get("config_version", 0)
            if not samples or samples[-1][1] != version:
                samples.append((time.monotonic(), version))

    def _run_operator(self, operator):
        """Adds accounts one by one; retries each change after a conflict."""
        start = time.monotonic()
        for number in range(CHANGES_PER_OPERATOR):
            # Both operators start each change at the same time, so that they
            # conflict.
            time.sleep(max(0.0, start + number * CHANGE_INTERVAL_SECONDS
                           - time.monotonic()))
            while not self._try_add_account(operator,
                                            f"race-{operator}-{number}"):
                pass

    def _try_add_account(self, operator, account):
        """Returns False on a conflict.

        Raises RuntimeError when apply fails for another reason.
        """
        folder = self.deployment.folder
        inventory = folder / f"race-{operator}-inventory.json"
        rules = folder / f"race-{operator}-rules.json"
        shown = self.deployment.ctl("show", "--json", str(inventory),
                                    str(rules))
        base = json.loads(shown)["version"]
        content = json.loads(inventory.read_text())
        added = json.loads(json.dumps(content["accounts"][0]))
        added["id"] = account
        added["key_sha256"] = [
            calls.sha256_hex(self.deployment.account_key(account))]
        content["accounts"].append(added)
        inventory.write_text(json.dumps(content))
        status, output = self.deployment.ctl_status(
            "apply", "--json", "--base", str(base),
            *(["--merge"] if operator == "a" else []), str(inventory),
            str(rules))
        if status == EXIT_CONFLICT:
            self.conflicts += 1
            return False
        if status != 0:
            self.last_error = (f"dandelionctl apply exited with status {status}: "
                               f"{output[:500]}")
            raise RuntimeError(self.last_error)
        with self.lock:
            version = json.loads(output)["version"]
            self.accepted_at[version] = time.monotonic()
            self.added_accounts.append(account)
        return True

    # Evaluation.

    def results(self):
        reverts = sum(1 for samples in self.version_samples.values()
                      for before, after in zip(samples, samples[1:])
                      if after[1] < before[1])
        return {"accepted_changes": len(self.accepted_at),
                "conflicts": self.conflicts,
                "in_force_max_ms": self._in_force_max_ms(),
                "in_force_after_heal_max_ms": self._in_force_max_ms(True),
                "reverts": reverts, "lost_changes": self._count_lost_changes()}

    def _in_force_max_ms(self, in_cut_zone=False):
        """Returns the longest time from acceptance of a version to in force.

        Leaves out, for processes of the cut zone, versions accepted from 4 s
        before the cut until its end. With `in_cut_zone`, covers only these,
        counted from the end of the cut. Returns None when a process never had
        a version in force.
        """
        longest = 0
        for name, samples in self.version_samples.items():
            zone = self._process_zone(name)
            cut = self.cut_periods.get(zone)
            for version, accepted in self.accepted_at.items():
                start = accepted
                if cut and cut[0] - 4 < accepted < cut[1]:
                    if not in_cut_zone:
                        continue
                    start = cut[1]
                elif in_cut_zone:
                    continue
                in_force = next((t for t, v in samples if v >= version), None)
                if in_force is None:
                    return None
                longest = max(longest, in_force - start)
        return round(longest * 1000)

    def _process_zone(self, process):
        name = process.split("-", 1)[1]
        return next(i.zone for i in self.deployment.instances if i.id == name)

    def _count_lost_changes(self):
        """Counts added accounts whose key some router rejects."""
        lost = set()
        for instance in self.deployment.instances:
            for account in self.added_accounts:
                if not self._accepts_key(instance.router_address, account):
                    lost.add(account)
        return len(lost)

    def _accepts_key(self, router, account):
        """Returns whether `router` knows the account's key.

        The request is malformed: a known key gets the error for that, an
        unknown key gets 401 or 503.
        """
        host, port = router.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        connection.request("POST", "/v1/chat/completions", "{}", {
            "Authorization": f"Bearer {self.deployment.account_key(account)}",
            "Content-Type": "application/json"})
        status = connection.getresponse().status
        connection.close()
        return status not in (401, 503)
