"""Command that turns a journal into tables and plots."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from bamboonotch_testing.bench import write_report
from bamboonotch_testing.reports._days import JournalError, read_journal
from bamboonotch_testing.reports._report import make_report

EXIT_JOURNAL = 2


@click.command()
@click.argument("journal", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--site", "sites", multiple=True, help="A deployment; all when none is given.")
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("bench-results"),
    show_default=True,
    help="Where tables and plots go.",
)
def main(journal: Path, sites: tuple[str, ...], out: Path) -> None:
    """Print the days of a journal by deployment, and write tables and plots.

    Exit status: 0, or 2 when an entry cannot be read.
    """
    try:
        days = read_journal(journal)
    except JournalError as error:
        click.echo(f"bamboonotch reports: {error}", err=True)
        sys.exit(EXIT_JOURNAL)
    for site in sites or sorted({day.site for day in days if day.site}):
        report = make_report(site, days)
        write_report(report, out)
        click.echo(report.render())


main()
