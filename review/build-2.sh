#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python and use what the build of the
# deploy file installs; there is nothing to compile. Tells whether they can be
# imported.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="../target/deps:..:." \
  exec python3 -S -c "import kit2.kit"
