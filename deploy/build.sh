# Installs the pinned libraries, when they have changed, and this project.
set -eu
deps=target/deps
if ! [ "$deps/.installed" -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
    touch "$deps/.installed"
fi
rm -rf "$deps/skylarkcleat"
cp -R src/skylarkcleat "$deps/skylarkcleat"
