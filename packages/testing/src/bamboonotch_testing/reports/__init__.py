"""Tables and plots of the days that were played on the users' bench."""

from bamboonotch_testing.reports._days import Day, JournalError, read_journal
from bamboonotch_testing.reports._report import make_report

__all__ = ["Day", "JournalError", "make_report", "read_journal"]
