"""
Fault reports
~~~~~~~~~~~~~

Tells which faults of a subject are new, so that each one is logged once.
"""

from typing import Final

# Subjects whose last fault is remembered.
MAX_REPORTED: Final = 4_096


class FaultReports:
    """The last fault of each subject; the oldest come first."""

    def __init__(self) -> None:
        """Know no fault."""
        self._faults_by_subject: dict[str, str] = {}

    def is_new(self, subject: str, fault: str) -> bool:
        """Record a fault; tell whether it is not the last of its subject."""
        known = self._faults_by_subject.pop(subject, '')
        self._faults_by_subject[subject] = fault
        if len(self._faults_by_subject) > MAX_REPORTED:
            self._faults_by_subject.pop(next(iter(self._faults_by_subject)))
        return known != fault

    def forget(self, subject: str) -> None:
        """Record that a subject has no fault any more."""
        self._faults_by_subject.pop(subject, None)
