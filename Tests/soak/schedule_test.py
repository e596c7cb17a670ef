"""A seed keeps the faults that it had, whatever kinds are added."""

import pathlib
import sys
import unittest

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent / "process")]

# pylint: disable=wrong-import-position
import soak_settings
from faults import ADDED_KINDS, schedule

SEEDS = range(1, 41)


def schedules(without=()):
    settings = soak_settings.load()
    for row in without:
        settings["weights"] |= dict.fromkeys(ADDED_KINDS[row], 0)
    return [schedule(seed, settings) for seed in SEEDS]


class ScheduleTest(unittest.TestCase):
    def test_each_row_of_kinds_is_drawn_apart(self):
        whole = schedules()
        for row, kinds in ADDED_KINDS.items():
            with self.subTest(row):
                self.assertEqual(schedules([row]), [
                    [it for it in faults if it.kind not in kinds]
                    for faults in whole])

    def test_each_added_kind_comes(self):
        seen = {it.kind for faults in schedules() for it in faults}
        for kinds in ADDED_KINDS.values():
            self.assertLessEqual(set(kinds), seen)


if __name__ == "__main__":
    unittest.main()
