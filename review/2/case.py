"""A configuration raises limits.maxHeaderBytes while clients hold connections open. See claim.txt."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from stand import Client, Deployment, Operator, Record, Server  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 40            # kept connections, 20 at each edge
SMALL, LARGE = 4096, 16384
AFTER_ACK_S = 6.0       # convergenceMs = 2 s, contactMs = 3 s
HEADER = [("X-Context", "c" * 6000)]   # within the new bound, beyond the old one


def configuration(version, header_bytes):
    return {"version": version,
            "limits": {"maxHeaderBytes": header_bytes, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "services": [{"name": "rma-desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}],
            "routes": [{"name": "status", "host": "app.example", "pathPrefix": "/status/", "type": "non_idempotent",
                        "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "service": "rma-desk", "maxAttempts": 1,
                        "affinity": False}]}


async def play(record):
    deployment = Deployment(record, cores=3, edges=2, hosts_lost=1)
    operator = Operator(deployment.core_ips, record)
    server = None
    try:
        deployment.start()
        # Without the disruption the larger bound is in force from the start, and nothing is changed later.
        if await operator.change("/Config.Replace", 0, configuration(1, SMALL if TROUBLE else LARGE)) != 200:
            return 2, "the first configuration was not taken"
        server = Server("rma-desk", f"127.{deployment.net}.3.1", 9000, deployment.core_ips, record)
        await server.start()
        if not await deployment.wait_ready():
            return 2, "the edges did not become ready"
        clients = [Client(deployment.edge_ips[number % 2]) for number in range(CLIENTS)]
        total = 0

        async def ask(what, headers):
            """One request on each kept connection."""
            nonlocal total
            results = []
            for client in clients:
                result = await client.request("app.example", "/status/x", deadline=1500, headers=headers)
                total += 1
                results.append(result["status"])
                record(f"client at {client.ip}, {what}, {result['id']}: {result['status'] or result['error']}")
                await asyncio.sleep(0.01)
            return results
        first = await ask("small head", [])
        if first != [200] * CLIENTS:
            return 2, f"the first requests were answered {first}"
        if TROUBLE and await operator.change("/Config.Replace", 1, configuration(2, LARGE)) != 200:
            return 2, "the change was not taken"
        for _ in range(2):      # the connections stay in use while the change spreads
            await asyncio.sleep(AFTER_ACK_S / 2)
            if await ask("small head", []) != [200] * CLIENTS:
                return 2, "a request with a small head failed"
        results = await ask("head of 6 KB on the kept connection", HEADER)
        for client in clients:
            client.close()
        again = await ask("head of 6 KB on a new connection", HEADER)
        refused = sum(status == 431 for status in results)
        allowed = 5 + total / 500
        record(f"of {total} requests, {refused} were refused with 431 more than {AFTER_ACK_S} s after the acknowledgement; "
               f"on new connections {again.count(200)} of {CLIENTS} were served")
        if refused > allowed:
            return 1, f"{refused} of {CLIENTS} proper requests on kept connections were refused with 431 by the older version's bound"
        return (0, "the bound in force was applied") if results == [200] * CLIENTS else (2, f"{results}")
    finally:
        if server:
            await server.stop()
        deployment.end()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        code, text = asyncio.run(asyncio.wait_for(play(record), 100))
    except Exception as error:
        code, text = 2, f"{type(error).__name__}: {error}"
    record(f"exit {code}: {text}")
    print(text)
    sys.exit(code)


main()
