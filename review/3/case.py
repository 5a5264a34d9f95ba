"""Pings of an instance that arrive late, after its DELETE was acknowledged, bring it
back: it gets requests until it exits."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import fleet as f

LATE = 3.0
DRAIN = 2.0
SERVES_ON = 10.0


async def case(record):
    deployment = f.Fleet(record, [("nl-a", "booking"), ("nl-b", "booking"),
                                  ("nl-c", "booking"), ("nl-d", "booking")])
    operator = f.Operator(deployment)
    instances = [f.Instance(deployment, s, f"i-{n + 1}") for n, s in enumerate(deployment.sidecars)]
    leaving = instances[1]
    try:
        clients = await f.set_up(deployment, operator, instances)
        start = record.now()
        loads = [asyncio.ensure_future(c.load(start + 22.0, 0.1)) for c in clients]
        await asyncio.sleep(3.0)

        # Its last two pings before it leaves are on their way for longer than usual.
        leaving.pinging = False
        await asyncio.sleep(f.HEARTBEAT)
        late = LATE if f.TROUBLE else 0.0
        await leaving.ping(late)
        await asyncio.sleep(f.HEARTBEAT - (f.ACK_TIMEOUT if f.TROUBLE else 0.0))
        await leaving.ping(late)
        acked_at = await leaving.leave()
        await asyncio.sleep(SERVES_ON)
        cut = await leaving.exit()
        await asyncio.gather(*loads)

        sent = {a: s for c in clients for a, (s, _, _) in c.answers.items()}
        after = [(at, a) for at, a, _ in leaving.runs if at > acked_at + DRAIN]
        first = f"; the first is {after[0][1]}, {after[0][0] - acked_at:.1f} s after the ack" if after else ""
        fresh = sum(1 for at, a in after if sent.get(a, 0.0) > acked_at + DRAIN)
        answers = {a: status for c in clients for a, (_, _, status) in c.answers.items()}
        failed = [a for a in cut if answers.get(a) != 200]
        return bool(after), (
            f"{leaving.id} left with DELETE, acknowledged at {acked_at:.2f}; requests that reached "
            f"it later than {DRAIN:.0f} s after the ack: {len(after)} ({fresh} of them were also sent "
            f"later){first}; cut off when it exited: {len(cut)}, of which {len(failed)} failed at the client")
    finally:
        deployment.stop()
        for i in instances:
            await i.close()


f.main(HERE, case)
