"""
Scenario command
~~~~~~~~~~~~~~~~

``python -m bench.scenario [--write] [NAME ...]`` plays scenarios, prints the
outcome and, with ``--write``, regenerates the ``.expected`` files.
"""

import sys

from bench.scenario import files

WRITE = '--write'


def main(arguments: list[str]) -> int:
    """Play the named scenarios, or all; return 1 if one is not as stated."""
    names = [name for name in arguments if name != WRITE]
    failed = False
    for path in files.scenario_paths():
        if names and path.stem not in names:
            continue
        text, unmet = files.run(path)
        print(f'== {path.stem}\n{text}', end='')
        for line in unmet:
            failed = True
            print(f'NOT MET: {line}')
        if WRITE in arguments:
            files.expected_path(path).write_text(text)
    return int(failed)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
