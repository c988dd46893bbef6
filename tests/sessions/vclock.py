"""An event loop whose time jumps to the next timer instead of passing."""

import asyncio
import selectors


class JumpingSelector(selectors.DefaultSelector):
    """Reports what is ready; where it would wait, the loop's time jumps."""

    def __init__(self):
        super().__init__()
        self.jump = None

    def select(self, timeout=None):
        """Ready descriptors, or none after the time has jumped by `timeout`."""
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("everything waits and nothing will ever happen")
        if not ready and timeout > 0:
            self.jump(timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop in virtual time; `suspended` shifts the clock that counts sleep."""

    def __init__(self):
        self.virtual_now = 0.0
        self.suspended = 0.0
        selector = JumpingSelector()
        selector.jump = self.advance
        super().__init__(selector)

    def time(self):
        """Virtual seconds since the start."""
        return self.virtual_now

    def clock(self):
        """Seconds that count suspended time as well."""
        return self.virtual_now + self.suspended

    def advance(self, seconds):
        """Jump ahead."""
        self.virtual_now += seconds


def run(main):
    """Run a coroutine in virtual time and end what it left running."""
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(main)
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
