#!/bin/sh
# The stand-ins of the scripts are Python programs without dependencies: this
# only checks that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'EOF'
import pathlib
import sys

for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
sys.exit(sys.version_info < (3, 11))
EOF
