"""
Record load
~~~~~~~~~~~

Writes the load of a played day, from the log of its hosts:

    python -m bench.recordload day.log bench/loads/NAME.csv --start-s 2
"""

import pathlib

import defopt

from bench import placementload


def main(
    log: pathlib.Path,
    load: pathlib.Path,
    *,
    start_s: float = 0,
    end_s: float = 60,
) -> None:
    """Write a load file.

    :param log: Output of a run with the logs of all hosts.
    :param load: File to write.
    :param start_s: First second of the day that is recorded.
    :param end_s: Second at which the recording ends.
    """
    with log.open() as lines:
        rows = placementload.from_log(lines, start_s, end_s)
    load.write_text('\n'.join((*rows, '')))
    print(f'{len(rows) - 1} requests')


if __name__ == '__main__':
    defopt.run(main)
