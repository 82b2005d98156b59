"""JSON calls over HTTP to the stand-ins and daemons."""

import hashlib
import http.client
import json


class CallError(Exception):
    """A call failed or its response was not status 200 with a JSON body."""


def call(method, address, path, body=None, key=None, timeout=5):
    """Returns the parsed JSON response, {} when empty. Raises CallError.

    `key` is sent as a bearer token; `timeout` is in seconds.
    """
    host, port = address.split(":")
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, headers)
        response = connection.getresponse()
        content = response.read()
        if response.status != 200:
            raise CallError(f"{method} {address}{path}: {response.status} "
                            f"{content[:300]!r}")
        return json.loads(content) if content else {}
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise CallError(f"{method} {address}{path}: {error}") from error
    finally:
        connection.close()


def sha256_hex(text):
    return hashlib.sha256(text.encode()).hexdigest()
