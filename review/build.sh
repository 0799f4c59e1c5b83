#!/bin/sh
# The cases' stand-ins for servers, clients and the operator are Python, which
# the build of the deploy file needs too (meson). This checks that they load;
# the program itself comes from the deploy file's build.
set -e
cd "$(dirname "$0")"
for file in site_kit.py [1-5]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
