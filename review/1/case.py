"""Eight orders of the operator under way at the same time, each a whole configuration of 3.6 MB. See claim.txt."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from stand import CONTROL, Deployment, Operator, Record, Server, call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ORDERS = 8              # PROTOCOL.md: "As many as eight orders may be under way at the same time"
ROUTES, PARTS = 1400, 70
ORDER_LIMIT_S = 28.0    # above ackTimeoutMs + 3 ms a route = 8.2 s
CALM_S = 6.0            # above contactMs = 3 s
READ_S = 15.0           # above contactMs = 3 s
LAST_ROUND_BEGINS_S = 42.0


def configuration(version, tag):
    services = [f"hall-{number:03d}" for number in range(PARTS)]

    def route(number):
        split = [{"service": service, "weight": 1 + (number + index) % 9} for index, service in enumerate(services)]
        return {"name": f"r-{number:04d}", "host": f"h{number % 7}.example", "pathPrefix": f"/{tag}{number:04d}/",
                "type": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 500, "priority": 1,
                "trafficSplit": split, "maxAttempts": 2, "affinity": False}
    return {"version": version,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "services": [{"name": service, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": False}
                         for service in services],
            "routes": [route(number) for number in range(ROUTES)]}


async def send(record, cores, base, version, body, first):
    """One order, as the pages say: the next node after a failure, a 5xx or silence, with growing pauses; ends with a
    clear answer. A second without an answer is the limit, longer for large bodies: 0.3 s more for each MiB."""
    begun, pause, node = time.monotonic(), 0.1, first
    patience = 1.0 + 0.3 * len(body) / (1 << 20)
    while time.monotonic() - begun < ORDER_LIMIT_S:
        ip = cores[node % len(cores)]
        node += 1
        try:
            answer = await call(f"{ip}:{CONTROL}", "POST", "/Config.Replace", body,
                                [("Content-Type", "application/json"), ("Base-Version", str(base))], patience)
            status = answer.status
        except Exception as error:
            status = type(error).__name__
        record(f"operator: version {version} on {base}, {len(body)} bytes, to {ip}: {status}")
        if status in (200, 400, 409, 412, 413, 422):
            return status
        await asyncio.sleep(pause)
        pause = min(1.0, pause * 1.5)
    record(f"operator: version {version} on {base}: no clear answer in {ORDER_LIMIT_S} s")
    return None


def same(read, sent):
    def form(document):
        return {"version": document["version"], "limits": document.get("limits"),
                "routes": {item["name"]: item for item in document["routes"]},
                "services": {item["name"]: item for item in document["services"]}}
    return form(read) == form(sent)


verdict = []        # (exit code, text), once it is known


async def play(record):
    deployment = Deployment(record, cores=3, edges=2, hosts_lost=1)
    operator = Operator(deployment.core_ips, record)
    cores = deployment.core_ips
    sent, acknowledged = {}, 0
    begun = time.monotonic()
    try:
        deployment.share_processors()
        deployment.start()
        sent[1] = configuration(1, "a")
        if await send(record, cores, 0, 1, json.dumps(sent[1], separators=(",", ":")).encode(), 0) != 200:
            return 2, "the first configuration was not taken"
        acknowledged = 1
        server = Server("hall-000", f"127.{deployment.net}.3.1", 9000, cores, record)
        await server.start()
        if not await deployment.wait_ready():
            return 2, "the edges did not become ready"
        record("the system is ready")
        version, rounds, broken = 1, 0, None
        while broken is None and (rounds == 0 or time.monotonic() - begun < LAST_ROUND_BEGINS_S):
            rounds += 1
            orders = []
            for number in range(ORDERS):
                own = version + 1 + number
                sent[own] = configuration(own, f"b{rounds}{number}")
                orders.append((own, json.dumps(sent[own], separators=(",", ":")).encode(), number))
            record(f"round {rounds}: {ORDERS} orders on version {version}, {'at the same time' if TROUBLE else 'one after the other'}")
            if TROUBLE:
                results = await asyncio.gather(*[send(record, cores, version, own, body, node) for own, body, node in orders])
            else:
                results = [await send(record, cores, version, own, body, node) for own, body, node in orders]
            acknowledged = max([acknowledged] + [own for (own, _, _), status in zip(orders, results) if status == 200])
            record(f"round {rounds}: answers {results}; newest acknowledged version {acknowledged}")
            record(f"calm for {CALM_S} s: no order is under way, no process has been touched")
            await asyncio.sleep(CALM_S if None in results else 3.0)
            read = await operator.read(READ_S)
            record(f"read back: {'version %d' % read['version'] if read else 'nothing came in %.0f s' % READ_S}")
            if read is None:
                broken = f"after round {rounds} the configuration doesn't come (asked at all nodes for {READ_S:.0f} s); acknowledged was {acknowledged}"
            elif read["version"] < acknowledged:
                broken = f"version {read['version']} was read back, {acknowledged} had been acknowledged"
            elif not same(read, sent[read["version"]]):
                broken = f"version {read['version']} differs from what was sent"
            else:
                version = read["version"]
        verdict.append((1, broken) if broken else (0, f"the configuration was read back after each of {rounds} rounds"))
        # What follows is only recorded; the verdict stands.
        record("for the record: a server says that it is leaving")
        server.state = "draining"
        try:
            ip = await asyncio.wait_for(server.beat("/Instances.Heartbeat", server.heartbeat()), 4.0)
        except asyncio.TimeoutError:
            ip = None
        server.tasks[0].cancel()
        record(f"for the record: draining {'acknowledged by ' + ip if ip else 'got no acknowledgement'}")
        if broken:
            record("for the record: all processes of the core are killed and started again")
            for process in deployment.cores:
                process.kill()
            for process in deployment.cores:
                process.start()
            await asyncio.sleep(5.0)
            read = await operator.read(7.0)
            record(f"for the record: read back after that: {read['version'] if read else 'nothing came in 7 s'}")
        await server.stop()
        return verdict[0]
    finally:
        deployment.end()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        code, text = asyncio.run(asyncio.wait_for(play(record), 118))
    except Exception as error:
        code, text = verdict[0] if verdict else (2, f"{type(error).__name__}: {error}")
    record(f"exit {code}: {text}")
    print(text)
    sys.exit(code)


main()
