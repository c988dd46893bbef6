"""Virtual time: a heap of things to do."""

import heapq


class Clock:
    """Runs functions in the order of their virtual time."""

    def __init__(self):
        self.now = 0.0
        self.heap = []
        self.sequence = 0

    def after(self, delay, function, *args):
        """Run a function after `delay` seconds."""
        self.sequence += 1
        entry = (self.now + max(0.0, delay), self.sequence, function, args)
        heapq.heappush(self.heap, entry)

    def run_until(self, end):
        """Run everything due before `end`."""
        while self.heap and self.heap[0][0] <= end:
            due, _, function, args = heapq.heappop(self.heap)
            self.now = max(self.now, due)
            function(*args)
        self.now = max(self.now, end)
