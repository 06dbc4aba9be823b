#!/bin/sh
# The stand-ins of the scripts are rig/rig.py and each play.py, run by python3,
# which Debian installs with libglib2.0-dev, a package of deploy/system.toml.
# Nothing is compiled: this checks that they can be read.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || { echo "python3 is missing"; exit 2; }
for f in rig/rig.py [0-9]*/play.py; do
	python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
		"$f" || exit 1
done
echo "stand-ins are ready"
