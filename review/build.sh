#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies, so that there is
# nothing to compile. This checks that they can be read and that the product
# has been built with the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py [1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/hawthornspur
