"""An event loop in virtual time, which jumps to the next timer instead of waiting."""

import asyncio
import selectors


class JumpingSelector(selectors.DefaultSelector):
    """Reports ready descriptors; advances the loop's time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.jump = None

    def select(self, timeout=None):
        """Return ready descriptors, or none after advancing the time by `timeout`."""
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError(
                "deadlock: no descriptor is ready and no timer is pending"
            )
        if not ready and timeout > 0:
            self.jump(timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop in virtual time; `suspended` is time that only `clock` includes."""

    def __init__(self):
        self.virtual_now = 0.0
        self.suspended = 0.0
        selector = JumpingSelector()
        selector.jump = self.advance
        super().__init__(selector)

    def time(self):
        """Return virtual seconds since the start."""
        return self.virtual_now

    def clock(self):
        """Return seconds that include suspended time."""
        return self.virtual_now + self.suspended

    def advance(self, seconds):
        """Advance the time."""
        self.virtual_now += seconds


def run(main):
    """Run a coroutine in virtual time, then cancel the tasks that it left running."""
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
