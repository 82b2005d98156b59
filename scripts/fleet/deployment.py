"""A deployment on loopback: platform, backend servers and the fleet."""

import copy
import json
import pathlib
import subprocess
import time

from fleet import http
from fleet.processes import BUILD, ROOT, Processes, StartError

EXAMPLE_BASE_PORT = 20000
PLATFORM_KEY = "platform-demo-key"
FLEET_KEY = "fleet-demo-key"
ADMIN_KEY = "admin-demo-key"
INSTANCES_PER_ZONE = 3
START_TIMEOUT_SECONDS = 30
# Granted tokens per unit of load weight: an account sends requests in
# proportion to its budget.
TOKENS_PER_WEIGHT = 20000
INSTANCE_PORT_OFFSET = 200
LINK_PORT_OFFSET = 300


def read_example(user, name):
    path = ROOT / "examples" / user / f"{name}.json"
    return json.loads(path.read_text())


class Instance:
    """Id, location and addresses of an entry instance: one router, one control."""

    def __init__(self, number, zone, region, port_base):
        port = port_base + INSTANCE_PORT_OFFSET + 4 * number
        self.id = f"entry-{number + 1}"
        self.zone = zone
        self.region = region
        self.router_address = f"127.0.0.1:{port}"
        self.router_admin = f"127.0.0.1:{port + 1}"
        self.bus_address = f"127.0.0.1:{port + 2}"
        self.control_admin = f"127.0.0.1:{port + 3}"


class Deployment:
    """Configures, starts and operates a deployment of one of the examples."""

    def __init__(self, user, port_base, folder, with_links=False, rules=None,
                 granted=None, seed=1, backend_links=False,
                 platform_settings=None, backend_settings=None,
                 control_settings=None, router_settings=None,
                 instances_per_zone=INSTANCES_PER_ZONE):
        self.user = user
        self.port_base = port_base
        self.folder = pathlib.Path(folder)
        self.seed = seed
        self.with_links = with_links
        self.platform_settings = platform_settings or {}
        self.backend_settings = backend_settings or {}
        self.control_settings = control_settings or {}
        self.router_settings = router_settings or {}
        self.inventory = read_example(user, "inventory")
        self.rules = {**read_example(user, "rules"), **(rules or {})}
        self.backend_admins = self._relocate_backends()
        self._set_grants(granted or {})
        self.zones = [(zone, region["id"])
                      for region in self.inventory["regions"]
                      for zone in region["zones"]]
        self.instances = [
            Instance(i, *self.zones[i // instances_per_zone], port_base)
            for i in range(instances_per_zone * len(self.zones))]
        self.platform_address = f"127.0.0.1:{port_base}"
        self.platform_admin = f"127.0.0.1:{port_base + 1}"
        self.links = {}  # name -> (listen, admin and target address)
        self._next_link = port_base + LINK_PORT_OFFSET
        self.processes = Processes(self.folder)
        if backend_links:
            self._insert_backend_links()
        self._write_configuration()

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.processes.stop_all()

    # Configuration.

    def _relocate_backends(self):
        """Rebases the ports on port_base; returns the admin addresses by id."""
        admins = {}
        for backend in self.inventory["backends"]:
            port = int(backend["address"].split(":")[1])
            port += self.port_base - EXAMPLE_BASE_PORT
            backend["address"] = f"127.0.0.1:{port}"
            admins[backend["id"]] = f"127.0.0.1:{port + 1}"
        return admins

    def _set_grants(self, granted):
        for account in self.inventory["accounts"]:
            for budget in account["budgets"]:
                budget["granted"] = granted.get(account["id"],
                                                budget["granted"])

    def _insert_backend_links(self):
        self.backend_listen = {}
        for backend in self.inventory["backends"]:
            name = f"link-{backend['id']}"
            self.backend_listen[backend["id"]] = backend["address"]
            backend["address"] = self._add_link(name, backend["address"])

    def _write_configuration(self):
        self.inventory_file = self.folder / "inventory.json"
        self.rules_file = self.folder / "rules.json"
        self.inventory_file.write_text(json.dumps(self.inventory, indent=1))
        self.rules_file.write_text(json.dumps(self.rules, indent=1))
        self.ctl_file = self.folder / "ctl.json"
        self.ctl_file.write_text(json.dumps({
            "platform_address": self.platform_address,
            "platform_key": PLATFORM_KEY,
            "admin_key": ADMIN_KEY, "author": "bench",
            "admin_addresses": [a for i in self.instances
                                for a in (i.control_admin, i.router_admin)]}))

    def account_key(self, account):
        return f"{account}.demo-secret"

    # Links.

    def _add_link(self, name, target):
        port = self._next_link
        self._next_link += 2
        self.links[name] = (f"127.0.0.1:{port}", f"127.0.0.1:{port + 1}",
                            target)
        return f"127.0.0.1:{port}"

    def _control_address_map(self, zone):
        """Maps bus addresses in other zones to the links from `zone` to them."""
        if not self.with_links:
            return {}
        address_map = {}
        for peer in self.instances:
            if peer.zone == zone:
                continue
            name = f"link-{zone}-{peer.id}"
            address_map[peer.bus_address] = (
                self.links[name][0] if name in self.links
                else self._add_link(name, peer.bus_address))
        return address_map

    def _platform_address_for(self, zone):
        if not self.with_links:
            return self.platform_address
        name = f"link-{zone}-platform"
        if name in self.links:
            return self.links[name][0]
        return self._add_link(name, self.platform_address)

    def set_link_faults(self, name, **faults):
        http.call("POST", self.links[name][1], "/faults", faults)

    def cut_zone(self, zone, cut=True, platform=True, peers=True):
        """Cuts a zone off from the platform and the controls of other zones.

        `cut=False` heals the partition.
        """
        zone_instance_ids = {i.id for i in self.instances if i.zone == zone}
        for name in self.links:
            to_platform = name == f"link-{zone}-platform"
            outward = name.startswith(f"link-{zone}-") and not to_platform
            inward = name.rsplit("-entry-", 1)[-1] in {
                i.rsplit("-", 1)[-1] for i in zone_instance_ids
            } and "-entry-" in name
            if (platform and to_platform) or (peers and (outward or inward)):
                self.set_link_faults(name, cut=cut)

    # Starting and stopping.

    def start(self):
        self._start_platform()
        self._start_backends()
        self.ctl("apply", str(self.inventory_file), str(self.rules_file))
        # Assign the port of every link before the programs that use it start.
        for zone, _ in self.zones:
            self._control_address_map(zone)
            self._platform_address_for(zone)
        for name, (listen, admin, target) in self.links.items():
            self.processes.start(name, "standin-link", {
                "listen_address": listen, "admin_address": admin,
                "target_address": target})
        for instance in self.instances:
            self.start_control(instance)
        for instance in self.instances:
            self.start_router(instance)
        self.wait_until_healthy()

    def _start_platform(self):
        self.processes.start("platform", "standin-platform", {
            "listen_address": self.platform_address,
            "admin_address": self.platform_admin,
            "platform_key": PLATFORM_KEY, "list_lag_ms": 1000,
            "seed": self.seed, **self.platform_settings})
        self.wait_for_response(self.platform_admin, "/records")
        for instance in self.instances:
            self.register_instance(instance.id, "entry", instance.zone,
                                   instance.region, instance.bus_address)
        for backend in self.inventory["backends"]:
            region = next(r for z, r in self.zones if z == backend["zone"])
            self.register_instance(backend["id"], "backend", backend["zone"],
                                   region, backend["address"])

    def register_instance(self, name, role, zone, region, address,
                          state="live"):
        """Creates or replaces an entry of the platform's instance list."""
        http.call("PUT", self.platform_admin, f"/instances/{name}", {
            "id": name, "role": role, "zone": zone, "region": region,
            "address": address, "state": state})

    def _start_backends(self):
        for number, backend in enumerate(self.inventory["backends"]):
            service = next(s for s in self.inventory["services"]
                           if s["id"] == backend["service"])
            is_model = service["kind"] == "model"
            listen = getattr(self, "backend_listen", {}).get(
                backend["id"], backend["address"])
            self.processes.start(f"backend-{backend['id']}", "standin-backend", {
                "listen_address": listen,
                "admin_address": self.backend_admins[backend["id"]],
                "id": backend["id"], "kind": service["kind"],
                "models": [m["id"] for m in service.get("models", [])],
                "slots": backend["slots"],
                "token_interval_us": 30000 if is_model else 20000,
                "checks_fencing": backend["checks_fencing"],
                "seed": self.seed * 100 + number, "max_connections": 64,
                "records_file": str(self.folder / f"{backend['id']}.records"),
                **self.backend_settings})
        for admin in self.backend_admins.values():
            self.wait_for_response(admin, "/records")

    def start_control(self, instance):
        address_map = self._control_address_map(instance.zone)
        self.processes.start(f"control-{instance.id}", "dandelion-control", {
            "instance": instance.id, "zone": instance.zone,
            "region": instance.region, "bus_address": instance.bus_address,
            "admin_address": instance.control_admin, "admin_key": ADMIN_KEY,
            "fleet_key": FLEET_KEY,
            "platform_address": self._platform_address_for(instance.zone),
            "platform_key": PLATFORM_KEY, "address_map": address_map,
            "seed_peers": [i.bus_address for i in self.instances
                           if i.id != instance.id],
            **self.control_settings}, "info")

    def start_router(self, instance):
        self.processes.start(f"router-{instance.id}", "dandelion-router", {
            "instance": instance.id, "zone": instance.zone,
            "region": instance.region, "listen_address": instance.router_address,
            "admin_address": instance.router_admin, "admin_key": ADMIN_KEY,
            "fleet_key": FLEET_KEY, "control_address": instance.bus_address,
            "max_connections": 96,
            "fallback_controls": [i.bus_address for i in self.instances
                                  if i.zone == instance.zone
                                  and i.id != instance.id],
            **self.router_settings}, "info")

    def wait_for_response(self, address, path, key=None):
        """Polls a GET until it succeeds; raises StartError on timeout."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while True:
            try:
                return http.call("GET", address, path, key=key, timeout=2)
            except http.CallError as error:
                self.processes.check_all_running()
                if time.monotonic() > deadline:
                    raise StartError(str(error)) from error
                time.sleep(0.1)

    def wait_until_healthy(self, instances=None):
        for instance in instances or self.instances:
            self.wait_for_response(instance.control_admin, "/healthz")
            self.wait_for_response(instance.router_admin, "/healthz")

    # Operation.

    def ctl(self, *arguments):
        """Runs dandelionctl; returns its output. Raises StartError on failure."""
        status, output = self.ctl_status(*arguments)
        if status != 0:
            raise StartError(f"dandelionctl {' '.join(arguments)}: exit "
                             f"status {status}: {output}")
        return output

    def ctl_status(self, *arguments):
        """Runs dandelionctl; returns its exit status and stdout + stderr."""
        completed = subprocess.run(
            [str(BUILD / "dandelionctl"), "--settings", str(self.ctl_file),
             *arguments], capture_output=True, text=True, timeout=60,
            check=False)
        return completed.returncode, completed.stdout + completed.stderr

    def set_platform_faults(self, **faults):
        http.call("POST", self.platform_admin, "/faults", faults)

    def set_backend_faults(self, backend, **faults):
        http.call("POST", self.backend_admins[backend], "/faults", faults)

    def instances_in_zone(self, zone):
        return [i for i in self.instances if i.zone == zone]

    def load_plan(self, **fields):
        """Returns a plan for dandelion-load; `fields` override its entries."""
        plan = {
            "seed": self.seed,
            "targets": [{"zone": zone,
                         "routers": [i.router_address
                                     for i in self.instances_in_zone(zone)]}
                        for zone, _ in self.zones],
            "budgets": [{"account": a["id"], "key": self.account_key(a["id"]),
                         "budget": b["name"], "granted": b["granted"],
                         "weight": max(1, b["granted"] // TOKENS_PER_WEIGHT)}
                        for a in self.inventory["accounts"]
                        for b in a["budgets"]],
            "judge": {"platform_admin": self.platform_admin,
                      "backend_admins": list(self.backend_admins.values()),
                      "control_admins": [i.control_admin
                                         for i in self.instances],
                      "admin_key": ADMIN_KEY, "settle_ms": 20000}}
        judge = {**plan["judge"], **fields.pop("judge", {})}
        return {**copy.deepcopy(plan), **fields, "judge": judge}
