"""Starts the project's programs and stops only those that it started."""

import json
import pathlib
import signal
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / "build"
STOP_TIMEOUT_SECONDS = 20


class StartError(Exception):
    """A program failed to start, exited unexpectedly or reported a failure."""


class Processes:
    """The child processes of one run; stops them when the context exits."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self._running = {}

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stop_all()

    def start(self, name, program, settings, log_level="warning"):
        """Starts build/`program` as `name`; `settings` is written to NAME.json."""
        settings_file = self.folder / f"{name}.json"
        settings_file.write_text(json.dumps(settings, indent=1))
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [str(BUILD / program), "--settings", str(settings_file),
                 "--log-level", log_level],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self._running[name] = (process, program, settings)
        return process

    def restart(self, name):
        """Restarts an exited program with the same settings.

        Raises StartError when it is still running.
        """
        process, program, settings = self._running[name]
        if process.poll() is None:
            raise StartError(f"{name} is still running")
        return self.start(name, program, settings)

    def process(self, name):
        return self._running[name][0]

    def names(self, prefix=""):
        return [n for n in self._running if n.startswith(prefix)]

    def is_running(self, name):
        return self.process(name).poll() is None

    def signal(self, name, number):
        if self.is_running(name):
            self.process(name).send_signal(number)

    def kill(self, name):
        """Sends SIGKILL and waits for the exit."""
        self.signal(name, signal.SIGKILL)
        self.process(name).wait()

    def exited(self):
        """Returns the exit statuses of the exited programs by name."""
        return {name: self.process(name).returncode
                for name in self._running if not self.is_running(name)}

    def check_all_running(self):
        """Raises StartError with the end of the log of an exited program."""
        exited = self.exited()
        if exited:
            name = next(iter(exited))
            log = (self.folder / f"{name}.log").read_text(errors="replace")
            raise StartError(f"{name} exited with status {exited[name]}:\n"
                             f"{log[-2000:]}")

    def stop_all(self):
        """Sends SIGTERM to all; kills those that outlast STOP_TIMEOUT_SECONDS.

        SIGCONT comes first because a stopped process does not handle SIGTERM.
        """
        for name in self._running:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for name in self._running:
            try:
                self.process(name).wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                self.kill(name)
