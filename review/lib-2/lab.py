"""Stand-ins of the platform for the scripts of this review.

One process plays the store, the engines and the clients, all on loopback
addresses. The hosts are processes of their own, started with the command of
the deploy file and with settings from the project's template. Standard library
only.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, path):
        self.start = now()
        self.file = open(path, "w", buffering=1)

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (now() - self.start, text))


# --- HTTP -------------------------------------------------------------------


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers.append((key.strip(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_body(reader, message, is_answer):
    if "chunked" in message.get("Transfer-Encoding").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    length = message.get("Content-Length")
    if length:
        return await reader.readexactly(int(length))
    if is_answer and message.status not in (204, 304):
        return await reader.read()
    return b""


def answer_bytes(status, headers, body):
    text = "HTTP/1.1 %d X\r\n" % status
    for key, value in headers:
        text += "%s: %s\r\n" % (key, value)
    text += "Content-Length: %d\r\n\r\n" % len(body)
    return text.encode("latin-1") + body


def abort(writer):
    """Resets the connection."""
    try:
        sock = writer.get_extra_info("socket")
        if sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            b"\x01\x00\x00\x00\x00\x00\x00\x00")
        writer.transport.abort()
    except OSError:
        pass


class Net:
    """Loopback addresses that no other run uses."""

    def __init__(self):
        self.prefix = "127.%d.%d." % (random.randint(20, 250),
                                      random.randint(1, 250))
        self.last = 0

    def ip(self):
        self.last += 1
        return self.prefix + str(self.last)

    def port(self, ip):
        with socket.socket() as probe:
            probe.bind((ip, 0))
            return probe.getsockname()[1]


def free_ports(count):
    """Returns ports that are free on all addresses."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


# --- store ------------------------------------------------------------------


class Store:
    """The platform's log, with the keyed topics that hosts use."""

    def __init__(self, net, record):
        self.ip = net.ip()
        self.port = net.port(self.ip)
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 self.port)

    def put(self, topic, key, value):
        """Appends a keyed record; value None removes the key."""
        content = bytes([len(key)]) + key.encode() + (value or b"")
        return self.append(topic, [content])

    def append(self, topic, records):
        log = self.topics.setdefault(topic, [])
        first = len(log)
        log.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return first

    def newest(self, topic):
        result = {}
        for offset, content in enumerate(self.topics.get(topic, [])):
            size = content[0] if content else 0
            key = content[1:1 + size].decode("utf-8", "replace")
            value = content[1 + size:]
            if value:
                result[key] = (value, offset)
            else:
                result.pop(key, None)
        return result

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                request.body = await read_body(reader, request, False)
                status, kind, body = await self.answer(request)
                writer.write(answer_bytes(status, [("Content-Type", kind)],
                                          body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        path, _, query = request.target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        topic = fields.get("Topic", "")
        log = self.topics.setdefault(topic, [])
        if path == "/log-newest":
            items = [{"Key": key, "Value": base64.b64encode(value).decode(),
                      "Offset": offset}
                     for key, (value, offset) in sorted(
                         self.newest(topic).items())]
            body = {"Items": items, "Truncated": False, "EndOffset": len(log)}
            return 200, "application/json", json.dumps(body).encode()
        if path == "/log-read":
            start = int(fields.get("From", "0"))
            until = now() + int(fields.get("WaitMs", "0")) / 1000
            while len(log) <= start and now() < until:
                event = self.changed
                try:
                    await asyncio.wait_for(event.wait(), until - now())
                except asyncio.TimeoutError:
                    break
            body = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for content in log[start:]:
                if len(body) > 900000:
                    break
                body += len(content).to_bytes(4, "big") + content
            return 200, "application/octet-stream", body
        if path == "/log-append":
            records, data = [], request.body
            while data:
                size = int.from_bytes(data[:4], "big")
                records.append(data[4:4 + size])
                data = data[4 + size:]
            first = self.append(topic, records)
            self.record("store append %s %r" % (topic, records))
            body = {"Offset": first, "EndOffset": len(log)}
            return 200, "application/json", json.dumps(body).encode()
        return 404, "text/plain", b""


# --- engines ----------------------------------------------------------------


class Engine:
    """An engine that registers itself and serves one request a connection.

    `behave(engine, request, writer)` answers a request; it returns False to
    close the connection. Every run is noted in `runs`.
    """

    count = 0

    def __init__(self, net, store, service, record, behave, zone="hall-a",
                 slots=16):
        self.ip = net.ip()
        self.port = net.port(self.ip)
        self.store = store
        self.service = service
        self.record = record
        self.behave = behave
        self.zone = zone
        self.slots = slots
        self.runs = []  # (time, attempt id, request)
        self.alive = False
        self.draining = False
        self.writers = set()
        self.beat_task = None
        self.sequence = 0
        self.tickets = {}

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        Engine.count += 1
        self.id = "i-%08x" % (random.getrandbits(24) * 256 + Engine.count)
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 self.port, limit=2 ** 20)
        self.alive = True
        self.running = 0
        self.beat_task = asyncio.create_task(self.beat())
        self.record("engine %s starts at %s" % (self.id, self.address))

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put("keyed.servers", self.id, json.dumps({
                "Service": self.service, "Address": self.address,
                "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                "State": "draining" if self.draining else "ready",
                "ColdRemainingMs": 0, "Stage": "both",
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Sequence": self.sequence}).encode())
            await asyncio.sleep(1.2)

    def crash(self, back_after=None):
        """Ends at once; the registration goes after three heartbeats."""
        if not self.alive:
            return
        self.alive = False
        self.record("engine %s crashes" % self.id)
        self.beat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            abort(writer)
        asyncio.create_task(self.expire(self.id))
        if back_after is not None:
            asyncio.create_task(self.restart(back_after))

    async def expire(self, gone):
        await asyncio.sleep(3.6)
        self.store.put("keyed.servers", gone, None)

    async def restart(self, after):
        await asyncio.sleep(after)
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.alive:
                request = await read_head(reader)
                request.body = await read_body(reader, request, False)
                if not await self.handle(request, reader, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        if request.target == "/report":
            body = {"Stage": "both", "Busy": False, "Sequence": 0,
                    "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                    "Waiting": 0, "Running": self.running, "KvUsed": 0,
                    "KvTotal": 405000, "Handles": 0, "pace": 1.0,
                    "Tickets": [{"Id": name, "Tokens": tokens,
                                 "State": "held", "AgeMs": 0}
                                for name, tokens in self.tickets.items()]}
            writer.write(answer_bytes(
                200, [("Content-Type", "application/json")],
                json.dumps(body).encode()))
            return True
        if request.target == "/health":
            writer.write(answer_bytes(
                503 if self.draining else 200,
                [("X-Instance-Id", self.id)], b""))
            return True
        if request.target == "/order":
            order = json.loads(request.body)
            if order["Operation"] == "reserve":
                self.tickets[order["Id"]] = order.get("Tokens", 0)
            else:
                self.tickets.pop(order["Id"], None)
            writer.write(answer_bytes(
                200, [("Content-Type", "application/json")],
                b'{"Free":200000}'))
            return True
        expected = request.get("X-Expected-Instance")
        if expected and expected != self.id:
            writer.write(answer_bytes(
                421, [("X-Instance-Id", self.id)], b""))
            return True
        return await self.behave(self, request, writer)

    def note_run(self, request):
        attempt = request.get("X-Attempt-Id")
        self.runs.append((now(), attempt, request))
        self.record("engine %s runs %s %s" % (self.id, attempt,
                                              request.first))

    def head(self, request, kind="application/octet-stream"):
        return [("X-Attempt-Id", request.get("X-Attempt-Id")),
                ("X-Server-Seal", "%s.%s" % (self.id,
                                             request.get("X-Attempt-Id"))),
                ("Content-Type", kind), ("X-Weight-Versions", "1")]


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def stream(engine, request, writer, events, gap, first):
    """Answers with `events` events after `first` seconds, `gap` apart."""
    await asyncio.sleep(first)
    start = int(request.get("Last-Event-Id", "0") or 0)
    text = "HTTP/1.1 200 OK\r\n"
    for key, value in engine.head(request, "text/event-stream"):
        text += "%s: %s\r\n" % (key, value)
    writer.write((text + "Transfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(start + 1, events + 1):
        writer.write(chunk(b"id: %d\ndata: %s-%d\n\n" % (
            number, request.get("X-Attempt-Id").encode(), number)))
        await writer.drain()
        await asyncio.sleep(gap)
    writer.write(b"0\r\n\r\n")
    return True


# --- hosts ------------------------------------------------------------------


def render(template, fields):
    """Fills in the settings template as the platform does."""

    def value_of(path, scope):
        for level in reversed(scope):
            found = level
            for part in path.split("."):
                if isinstance(found, dict) and part in found:
                    found = found[part]
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text_of(item) for item in value)
        if isinstance(value, dict):
            return json.dumps(value)
        return str(value)

    def fill(text, scope, item, key, last):
        section = re.search(
            r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", text, re.S)
        if section:
            mark, path, inner = section.groups()
            value = value_of(path, scope)
            made = ""
            if mark == "^":
                if not value:
                    made = fill(inner, scope, item, key, last)
            elif isinstance(value, dict):
                entries = list(value.items())
                for index, (name, entry) in enumerate(entries):
                    made += fill(inner, scope, entry, name,
                                 index == len(entries) - 1)
            elif isinstance(value, list):
                for index, entry in enumerate(value):
                    made += fill(inner, scope, entry, str(index),
                                 index == len(value) - 1)
            elif value or value == 0 and value is not False:
                made = fill(inner, scope, value, "", True)
            return (fill(text[:section.start()], scope, item, key, last) +
                    made +
                    fill(text[section.end():], scope, item, key, last))

        def one(match):
            path = match.group(1)
            if path == ".":
                return text_of(item)
            if path == "@":
                return key
            if path == ",":
                return "" if last else ","
            return text_of(value_of(path, scope))

        return re.sub(r"\{\{([\w.@,]+)\}\}", one, text)

    return fill(template, [fields], None, "", True)


class Host:
    def __init__(self, deployment, index):
        net = deployment.net
        self.deployment = deployment
        self.index = index
        self.ip = net.ip()
        # Ports are the same on all machines.
        ports = deployment.ports
        self.front = "%s:%d" % (self.ip, ports[0])
        self.ready = "%s:%d" % (self.ip, ports[1])
        self.control = "%s:%d" % (self.ip, ports[2])
        self.directory = "%s:%d" % (self.ip, ports[3])
        self.process = None
        self.starts = 0
        self.store_address = deployment.store.address

    def settings(self):
        zones = {"hall-a": "kecskemet", "hall-b": "kecskemet",
                 "hall-c": "kecskemet"}
        hosts = self.deployment.hosts
        return {
            "Node": "front-hall-%s-%d" % ("abc"[self.index % 3],
                                          self.index // 3 + 1),
            "IpAddress": self.ip, "Zone": "hall-" + "abc"[self.index % 3],
            "Region": "kecskemet", "Zones": zones,
            "Listen": {"Front": self.front, "Ready": self.ready,
                       "Control": self.control, "Directory": self.directory},
            "Seeds": [host.control for host in hosts[:3]],
            "FirstStart": self.starts == 0,
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260,
                       "FileDescriptors": 4200},
            "HeartbeatIntervalMs": 1200,
            "Bounds": {
                "SeedLagS": 3, "ReuseAfterS": 2, "StabilityWindowMs": 3000,
                "AcknowledgeMs": 4000, "CatchUpS": 4, "DrainMs": 2000,
                "GraceS": 8, "LossSlackMs": 200,
                "ConfigurationApplyMs": 2000, "RollbackSlackMs": 250,
                "OuterBoundMs": 5000, "RevokeMs": 5000,
                "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
                "BudgetExtraRetries": 100, "RecoveryS": 12, "PassMs": 120,
                "HoldMaximumMs": 20000, "FreeMs": 4000,
                "IdleMaximumMs": 9000, "ttl_max_s": 5},
            "Platform": {"Address": self.store_address, "form": "log"},
        }

    def start(self):
        folder = self.deployment.folder
        name = os.path.join(folder, "host-%d.ini" % self.index)
        with open(os.path.join(ROOT, "platform/settings.ini.template")) as f:
            text = render(f.read(), self.settings())
        # The template's port of the metrics may be in use on this machine.
        text = text.replace(":9464", ":%d" % self.deployment.ports[4])
        with open(name, "w") as f:
            f.write(text)
        command = self.deployment.command()
        command = [name if word == "/etc/banyanpick/local.yaml" else word
                   for word in command]
        log = open(os.path.join(folder, "host-%d.log" % self.index), "a")
        env = {"PATH": os.environ.get("PATH", ""),
               "HOME": os.environ.get("HOME", "/tmp"), "LANG": "C.UTF-8"}
        self.process = subprocess.Popen(command, stdout=log,
                                        stderr=subprocess.STDOUT, cwd=ROOT,
                                        env=env,
                                        preexec_fn=self.deployment.limits)
        self.starts += 1
        self.deployment.record("host %d starts (pid %d)" % (
            self.index, self.process.pid))

    def signal(self, number):
        self.deployment.record("host %d gets %s" % (
            self.index, signal.Signals(number).name))
        self.process.send_signal(number)


class Deployment:
    def __init__(self, folder, hosts=3):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = Net()
        self.ports = free_ports(5)
        self.store = Store(self.net, self.record)
        self.hosts = []
        self.engines = []
        self.limits = None
        for index in range(hosts):
            self.hosts.append(Host(self, index))

    def command(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            roles = tomllib.load(f)["roles"]
        words = roles["entry"]["run"].split(" ")
        program = os.environ.get("PROGRAM", words[0])
        return [os.path.join(ROOT, program)] + words[1:]

    def configure(self, document):
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record("configuration %s written" % document["Version"])

    async def ready(self, host, within=15):
        until = now() + within
        while now() < until:
            answer = await call(host.ready, "GET", "/readiness", [], b"", 1)
            if answer and answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self):
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                try:
                    host.process.send_signal(signal.SIGCONT)
                    host.process.kill()
                except OSError:
                    pass
        for host in self.hosts:
            if host.process:
                host.process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            import shutil
            shutil.rmtree(self.folder, ignore_errors=True)


# --- clients ----------------------------------------------------------------


async def call(address, method, target, headers, body, timeout):
    """One request on a new connection. Returns the answer, or None."""
    ip, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        text = "%s %s HTTP/1.1\r\n" % (method, target)
        if not any(key.lower() == "host" for key, _ in headers):
            text += "Host: %s\r\n" % address
        for key, value in headers:
            text += "%s: %s\r\n" % (key, value)
        if body or method == "POST":
            text += "Content-Length: %d\r\n" % len(body)
        writer.write(text.encode("latin-1") + b"\r\n" + body)
        await writer.drain()
        answer = await read_head(reader)
        while 100 <= answer.status < 200:
            answer = await read_head(reader)
        answer.body = await read_body(reader, answer, True)
        return answer

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.IncompleteReadError, ConnectionError, OSError,
            asyncio.TimeoutError, asyncio.LimitOverrunError):
        return None
    finally:
        if writer:
            writer.close()


def attempt_id():
    return "%016x" % random.getrandbits(64)


def route(name, prefix, kind, service, attempts=2, timeout=10000, target=300,
          resumable=False, gap=250, sticky=False):
    result = {"Name": name, "Host": "ficu95.example", "PathPrefix": prefix,
              "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": target,
              "Priority": 1, "Service": service, "Attempts": attempts,
              "Public": False, "Sticky": sticky, "Resumable": resumable}
    if kind == "streaming":
        result["TargetGapMs"] = gap
    return result


def llm_service(name):
    """A service of model engines, with the figures of the akap-ring site."""
    return {"Name": name, "HealthPath": "/health", "ConnectionLimit": 264,
            "Protocol": "h1", "Tls": False,
            "Engine": {"Slots": 16, "KvCacheTokens": 405000,
                       "KvTokenBytes": 163840, "LinkMbps": 400000.0,
                       "Stride": 34, "Models": [{"Name": "m"}],
                       "step_ms": 1.31, "per_seq_ms": 0.000917,
                       "context_per_k": 0.00213, "read_per_s": 154000.0,
                       "pairs_per_m": 0.162, "chunk": 2048,
                       "report_lag_ms": 200.0, "LoadsPerS": 0.0,
                       "loads_at_once": 8, "delays": [],
                       "usual": {"prompt": 11323, "answer": 1266},
                       "HopMs": 0.1}}


def app_service(name):
    return {"Name": name, "HealthPath": "/health", "ConnectionLimit": 96,
            "Protocol": "h1", "Tls": False}


LIMITS = {"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000,
          "IdleTimeoutMs": 15000}
KEY = "n2ctnfzs989anu6wsjnb"
TENANTS = [{"Name": "hule930", "Credentials": [KEY], "Priority": 1}]


def run(main, folder, hosts=3):
    """Runs main(deployment, trouble) and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        deployment = None
        # A script that is ended itself ends its hosts.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, asyncio.current_task().cancel)
        try:
            deployment = Deployment(folder, hosts)
            result = await asyncio.wait_for(main(deployment, trouble), 115)
            deployment.record("result %d" % result)
            return result
        finally:
            if deployment:
                deployment.stop()

    try:
        result = asyncio.run(play())
    except BaseException as failure:  # The case couldn't run.
        print("could not run: %r" % failure, file=sys.stderr)
        result = 2
    sys.stdout.flush()
    os._exit(result)
