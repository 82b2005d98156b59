"""An engine of the plain service as a process of its own, to be killed.

    engine_process.py HOST PORT NAME STATUS

Answers each request with STATUS, a signature and a body of two parts, with
neither a length nor chunks. Writes "half ID" to its output when the first part
is out, and goes on when a line comes on its input."""
import socket
import sys
import threading

FIRST, SECOND = b"{\"payout\": \"rejected\", ", b"\"reason\": \"closed account\"}"
WHOLE = FIRST + SECOND


def read_request(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return None
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    headers = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    while len(body) < int(headers.get("content-length", "0")):
        body += connection.recv(65536)
    return headers


def serve(connection, status, go_on):
    headers = read_request(connection)
    if headers is None:
        return
    attempt = headers.get("attempt-id", "")
    connection.sendall(
        ("HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nServer-Signature: e.1\r\n"
         "Content-Type: application/json\r\n\r\n" % (status, attempt)).encode()
        + FIRST)
    print("half %s" % attempt, flush=True)
    go_on.wait()
    connection.sendall(SECOND)
    connection.close()


def main():
    host, port, _, status = sys.argv[1:5]
    go_on = threading.Event()
    listener = socket.create_server((host, int(port)))
    print("listening", flush=True)

    def accept():
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=serve, daemon=True,
                             args=(connection, int(status), go_on)).start()

    threading.Thread(target=accept, daemon=True).start()
    for _ in sys.stdin:
        go_on.set()


if __name__ == "__main__":
    main()
