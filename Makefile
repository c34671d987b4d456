# Targets: check, build, demo, bench, capacity, fuzz, soak.

.PHONY: check build format tidy lint demo bench capacity measure fuzz soak

check: format lint build tidy
	go vet ./...
	bash .ci/test

build:
	go build ./...
	go build -o bin/ .

format:
	@files=$$(git ls-files '*.go' | xargs -r go tool gofumpt -l); \
	if [ -n "$$files" ]; then echo "not formatted by gofumpt:"; echo "$$files"; exit 1; fi

tidy:
	go mod tidy -diff

lint:
	go tool revive -config revive.toml -set_exit_status ./...

demo:
	go run ./demo

# Benchmarks of the control plane in virtual time, of single packages, and of real processes on loopback. They take
# about ten minutes and need an otherwise idle machine.
BENCHES = ./catalog ./fleet ./control ./ledger ./balance ./burn ./call ./link ./rig

RESULTS = bench/out/results.txt

# Fails if a result is worse than the baseline or a benchmark misses its bound.
bench: measure
	go run ./capacity --baseline bench/baseline.txt $(RESULTS)
	@! grep -A3 -e '--- FAIL' $(RESULTS)

capacity: measure
	go run ./capacity --tables docs/CAPACITY.md --plots docs/plots $(RESULTS)

measure:
	mkdir -p bench/out
	-go test -run '^$$' -bench . -benchtime 1x -timeout 40m $(BENCHES) > $(RESULTS)

FUZZTIME = 20s

fuzz:
	@for package in $$(git grep -l '^func Fuzz' -- '*_test.go' | xargs -n1 dirname | sort -u); do \
		for target in $$(git grep -h -o '^func Fuzz[A-Za-z0-9]*' -- "$$package/*_test.go" | cut -c6-); do \
			echo "$$package $$target"; \
			go test "./$$package" -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZTIME) || exit 1; \
		done; \
	done

# Runs the soak test with real processes: first the seeds that failed in the past, then new ones.
SOAK_SEEDS = 10

soak:
	go run ./soak --failed soak/regressions.txt
	go run ./soak --seeds $(SOAK_SEEDS)
	go run ./soak --seeds $(SOAK_SEEDS) --planned
