# Sourced by ./demo and ./test: an environment of the project's own, made once and anew when what it needs changes.
test -x .venv/bin/python || python3 -m venv .venv
wanted=$(cat requirements.txt pyproject.toml | sha256sum)
if [ "$wanted" != "$(cat .venv/made-of 2>/dev/null)" ]; then
    .venv/bin/pip -q install -r requirements.txt -e '.[dev]'
    echo "$wanted" > .venv/made-of
fi
