"""Virtual time: a heap of scheduled calls."""

import heapq


class Clock:
    """Calls functions in the order of their virtual time."""

    def __init__(self):
        self.now = 0.0
        self.heap = []
        self.sequence = 0

    def after(self, delay, function, *args):
        """Schedule a call after `delay` seconds."""
        self.sequence += 1
        entry = (self.now + max(0.0, delay), self.sequence, function, args)
        heapq.heappush(self.heap, entry)

    def run_until(self, end):
        """Run all calls due up to `end`, and set the clock to it."""
        while self.heap and self.heap[0][0] <= end:
            due, _, function, args = heapq.heappop(self.heap)
            self.now = max(self.now, due)
            function(*args)
        self.now = max(self.now, end)
