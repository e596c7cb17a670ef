"""Judges the history of a run of the soak. Each checker is a module with
NEEDS, the attributes of a history that it can't do without, and `check`, which
gives messages with the events around them. Some have `unsure`, which tells
what they could not check."""

from . import (attempts, bounded, cancels, configuration, crashes, cut,
               doubled, growth, kept, refused, resources, room, states, stops)
from .history import Breach, History

CHECKERS = (cut, doubled, room, attempts, crashes, kept, refused, states, cancels,
            stops, bounded, resources, growth, configuration)


def _name(checker):
    return checker.__name__.rpartition(".")[2]


def _missing(checker, history):
    return [it for it in checker.NEEDS if getattr(history, it) is None]


def check_all(folder):
    """Gives the breaches. See `notes` for what was not checked."""
    history = History(folder)
    return [Breach(_name(checker), message, tuple(events))
            for checker in CHECKERS if not _missing(checker, history)
            for message, events in checker.check(history)]


def notes(folder):
    """Tells what could not be checked, and why."""
    history = History(folder)
    found = []
    for checker in CHECKERS:
        missing = _missing(checker, history)
        if missing:
            found.append(f"{_name(checker)}: not checked, the history has no "
                         f"{', '.join(missing)}")
        elif hasattr(checker, "unsure"):
            found += [f"{_name(checker)}: not checked, {it}"
                      for it in checker.unsure(history)]
    return found
