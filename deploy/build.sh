# Installs the pinned libraries, when they have changed, and this project.
#
# Processes can't write next to the sources, so the project is compiled here:
# otherwise each start would compile all of it.
set -eu
deps=target/deps
if ! [ "$deps/.installed" -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
    touch "$deps/.installed"
fi
rm -rf "$deps/skylarkcleat"
cp -R src/skylarkcleat "$deps/skylarkcleat"
find "$deps/skylarkcleat" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q --invalidation-mode unchecked-hash "$deps/skylarkcleat"
