"""A cancellation that is acknowledged while the submission is still being stored.

The store carries out the append of a submission and loses the answer (or, with
LATE=1 in the environment, carries it out 1.5 s later). The client gives up after
0.3 s and cancels the job at another instance. With TROUBLE=0 the answer is not
lost, and the same client cancels the job 0.3 s after its acceptance."""
import http.client
import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import standin  # noqa: E402

JOB = "00000000000000c1"
CANCEL_S, STOP_S = 3.0, 0.2  # cancel_ms, stop_ms
LEAVE_S = 0.3
BODY = {"spec": "c1", "phases": [
    {"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 300, "long_running": True}]}


def leave_early(record, instance):
    """A client that leaves before its deadline: it closes its connection."""
    connection = http.client.HTTPConnection(*instance.caller_address(), timeout=LEAVE_S)
    try:
        connection.request("POST", "/look/" + JOB, json.dumps(BODY), {
            "Host": "site.example", "Content-Type": "application/json", "Deadline-Ms": "3000"})
        status = connection.getresponse().status
    except OSError:
        status = 0
    connection.close()
    record("POST /look/%s at %s -> %s" % (JOB, instance.name, status or "no answer, the client leaves"))
    return status


def case(record, trouble):
    begun = []
    alive = {}

    def on_event(minion, what, task, number, detail):
        if what == "begin":
            begun.append((time.monotonic(), minion.id, task, number))
            alive[(minion.id, task)] = number
        else:
            alive.pop((minion.id, task), None)

    site = standin.Site(record, work_s=lambda task: None, on_event=on_event)
    try:
        site.start()
        standin.wait_for(15, lambda: any("term_begun" in it.log_text() for it in site.instances))
        time.sleep(1.0)
        lost = []

        def rule(topic, part, records, query):
            mine = any(("s/" + JOB).encode() in it for it in records)
            if not trouble or not mine or lost:
                return 0.0
            lost.append(records)
            record("store: the append of the submission gets no answer and is carried out later")
            threading.Timer(1.5, lambda: site.store.store(query, records)).start()
            return "late"

        site.store.append_rule = rule
        status = leave_early(record, site.instances[0])
        if not trouble and status != 200:
            raise RuntimeError("the submission was not accepted")
        if not trouble:
            time.sleep(LEAVE_S)
        # As an acknowledgement counts 2xx or 410; anything else is tried again.
        until = time.monotonic() + 4.0
        status = 0
        while status not in (200, 410) and time.monotonic() < until:
            status, _ = site.call(1, "DELETE", "/look/" + JOB)
            time.sleep(0.1)
        if status not in (200, 410):
            raise RuntimeError("the cancellation was not acknowledged")
        acknowledged = time.monotonic()
        record("the cancellation is acknowledged with %d" % status)
        while time.monotonic() < acknowledged + 15.0:
            time.sleep(0.5)
        site.call(2, "GET", "/look/" + JOB)
        late = [it for it in begun if it[0] > acknowledged + CANCEL_S]
        running = sorted(alive)
        record("runs: %d begun, %d of them later than cancel_ms after the acknowledgement; "
               "15 s after it %d run" % (len(begun), len(late), len(running)))
        return not late and not running
    finally:
        site.stop()


standin.main(case)
