"""Runs dandelion-load against a deployment."""

import json
import subprocess
import threading
import time

from fleet.processes import BUILD, StartError


class Load:
    """One run of dandelion-load in the background."""

    def __init__(self, deployment, plan):
        self.folder = deployment.folder
        self.result_file = self.folder / "result.json"
        plan_file = self.folder / "plan.json"
        settings_file = self.folder / "load.json"
        plan_file.write_text(json.dumps(plan))
        settings_file.write_text(json.dumps({
            "plan_file": str(plan_file),
            "result_file": str(self.result_file)}))
        self.process = subprocess.Popen(
            [str(BUILD / "dandelion-load"), "--settings", str(settings_file)],
            stdout=subprocess.PIPE, stdin=subprocess.DEVNULL, text=True)
        self.started = threading.Event()
        self.start_time = None
        self._reader_thread = threading.Thread(target=self._read_output,
                                               daemon=True)
        self._reader_thread.start()
        if not self.started.wait(30):
            self.stop()
            raise StartError("dandelion-load did not report its start within 30 s")

    def _read_output(self):
        for line in self.process.stdout:
            if line.startswith("started"):
                self.start_time = time.monotonic()
                self.started.set()

    def wait_until(self, seconds):
        """Sleeps until `seconds` after the start of the load."""
        time.sleep(max(0.0, self.start_time + seconds - time.monotonic()))

    def wait_for_result(self, timeout):
        """Waits up to `timeout` seconds for the exit; returns the parsed result.

        Raises StartError on timeout or a non-zero exit status.
        """
        try:
            status = self.process.wait(timeout)
        except subprocess.TimeoutExpired as error:
            self.stop()
            raise StartError(
                f"dandelion-load did not exit within {timeout} s") from error
        if status != 0:
            raise StartError(f"dandelion-load exited with status {status}")
        return json.loads(self.result_file.read_text())

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stop()
