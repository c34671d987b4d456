# Targets: check, build, demo, bench, capacity, fuzz.

.PHONY: check build format lint demo

check: format lint build
	go vet ./...
	bash .ci/test

build:
	go build ./...
	go build -o bin/ .

format:
	@files=$$(git ls-files '*.go' | xargs -r go tool gofumpt -l); \
	if [ -n "$$files" ]; then echo "not formatted by gofumpt:"; echo "$$files"; exit 1; fi

lint:
	go tool revive -config revive.toml -set_exit_status ./...

demo:
	go run ./demo
