"""Orders that a worker has run are answered 429, the promise of no run."""

import asyncio

import kit

# One of three workers fails 0.4 of its requests after it has run them; its
# liveness check is good.
FAILING = 'i-0'
SHARE = 0.4
CONSUMERS = 6
ORDERS = 100
PROMISES = {408, 421, 429, 503}


class Case:
    def __init__(self, system):
        self.system = system
        self.record = system.record
        self.ran = {}
        self.runs_by_order = {}
        self.answered = {}
        self._seen = 0

    async def respond(self, head, body, writer, reader, name):
        attempt = head.get(kit.ATTEMPT)
        await asyncio.sleep(0.05)
        # From here on the order is carried out.
        self.ran[attempt] = name
        self.record.write(f'{attempt} {body.decode()} has run at {name}')
        order = body.decode()
        self.runs_by_order[order] = self.runs_by_order.get(order, 0) + 1
        if kit.TROUBLE and name == FAILING:
            self._seen += 1
            if self._seen * SHARE % 1 < SHARE:
                self.record.write(f'{attempt} ran at {name}, which says 429')
                writer.write(
                    kit.answer(head, '429 Too Many Requests', b'later')
                )
                return
        writer.write(kit.answer(head, body=b'x' * 800))

    async def consume(self, number):
        for turn in range(ORDERS):
            order = f'order-{number}-{turn}'
            for repeat in range(2):
                attempt = f'a{number}{turn:02}{repeat}'
                status, head, _ = await kit.call(
                    self.system.hosts[number % 2].front,
                    'POST',
                    '/confirmar/1',
                    attempt,
                    body=order.encode(),
                )
                self.answered[attempt] = status
                stamped = head is not None and head.get(kit.STAMP)
                self.record.write(
                    f'{attempt} {order} answered {status}'
                    f' {"with" if stamped else "without"} a stamp'
                )
                # A consumer repeats an order once after a promise.
                if status not in PROMISES:
                    break

    async def run(self):
        await asyncio.gather(*map(self.consume, range(CONSUMERS)))
        broken = [
            attempt
            for attempt, status in self.answered.items()
            if status in PROMISES and attempt in self.ran
        ]
        twice = [
            order for order, runs in self.runs_by_order.items() if runs > 1
        ]
        self.record.write(
            f'{len(self.answered)} attempts, {len(self.ran)} ran;'
            f' ran and answered with a promise: {len(broken)};'
            f' orders carried out twice: {len(twice)}'
        )
        return not broken


async def case():
    async with kit.System('.') as system:
        system.store.put(
            'op/config',
            kit.configuration(
                [kit.route('r-2', '/confirmar/', 'non_idempotent')]
            ),
        )
        await system.add_hosts(3)
        played = Case(system)
        for number in range(3):
            name = f'i-{number}'

            async def respond(head, body, writer, reader, name=name):
                await played.respond(head, body, writer, reader, name)

            await system.add_worker(kit.Worker(name, respond))
        await asyncio.sleep(1)
        return await played.run()


kit.run(case)
