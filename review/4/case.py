"""A ping that arrives late, after the daemon that had acknowledged the instance's DELETE was
killed and started again, brings the instance back: it gets requests until it exits."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import fleet as f

LATE = 3.0
DRAIN, CONTACT = 2.0, 3.0
SERVES_ON = 10.0
DOWN = 0.5


async def case(record):
    deployment = f.Fleet(record, [("nl-a", "booking"), ("nl-b", "booking"),
                                  ("nl-c", "booking"), ("nl-d", "booking")])
    operator = f.Operator(deployment)
    instances = [f.Instance(deployment, s, f"i-{n + 1}") for n, s in enumerate(deployment.sidecars)]
    leaving = instances[1]
    machine = deployment.sidecars[1]
    try:
        clients = await f.set_up(deployment, operator, instances)
        start = record.now()
        loads = [asyncio.ensure_future(c.load(start + 18.0, 0.1)) for c in clients]
        await asyncio.sleep(2.0)

        # Its last ping before it leaves is on its way for longer than usual.
        leaving.pinging = False
        await asyncio.sleep(f.HEARTBEAT)
        await leaving.ping(LATE if f.TROUBLE else 0.0)
        acked_at = await leaving.leave()
        started_at = acked_at
        if f.TROUBLE:
            await asyncio.sleep(0.5)
            machine.signal(signal.SIGKILL)
            await asyncio.sleep(DOWN)
            machine.restart()
            started_at = record.now()
        await asyncio.sleep(acked_at + SERVES_ON - record.now())
        cut = await leaving.exit()
        await asyncio.gather(*loads)

        # The machine is in touch again `contact` after its start, the others always were.
        judged_from = max(acked_at + DRAIN, started_at + CONTACT if f.TROUBLE else 0.0)
        after = [(at, a) for at, a, _ in leaving.runs if at > judged_from]
        answers = {a: status for c in clients for a, (_, _, status) in c.answers.items()}
        failed = [a for a in cut if answers.get(a) != 200]
        first = f"; the first is {after[0][1]}, {after[0][0] - acked_at:.1f} s after the ack" if after else ""
        return bool(after), (
            f"{leaving.id} left with DELETE, acknowledged at {acked_at:.2f}; requests that reached "
            f"it later than {judged_from:.2f}: {len(after)}{first}; cut off when it exited: "
            f"{len(cut)}, of which {len(failed)} failed at the client")
    finally:
        deployment.stop()
        for i in instances:
            await i.close()


f.main(HERE, case)
