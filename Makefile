# The front door: `make help` lists the targets.

STATICCHECK = honnef.co/go/tools/cmd/staticcheck@v0.8.2
BUF = github.com/bufbuild/buf/cmd/buf@v1.75.0
PROTOC_GEN_GO = google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12

.PHONY: help build test demo ci bench capacity fuzz soak generate

help: ## list the targets
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*## /\t/'

build: ## build the program
	go build -trimpath -o jaythread .

test: ## run all tests with the race detector
	go test -race ./...

demo: ## run a whole small installation for 20 seconds
	go run . demo --for 20s

ci: ## what CI runs
	bash .ci/run

bench: ## run all benchmarks
	go test -run '^$$' -bench . -benchmem ./...

capacity: ## measure the slopes behind docs/CAPACITY.md
	go test -run '^$$' -bench 'Capacity' -benchmem ./...

fuzz: ## fuzz each decoder for ten seconds
	for target in FuzzRecord FuzzSnapshot; do go test ./jaystate -run '^$$' -fuzz "^$$target$$" -fuzztime 10s -fuzzminimizetime 10x || exit 1; done
	go test ./jayconfig -run '^$$' -fuzz '^FuzzConfiguration$$' -fuzztime 10s -fuzzminimizetime 10x
	go test ./jaypeer -run '^$$' -fuzz '^FuzzPeerMessage$$' -fuzztime 10s -fuzzminimizetime 10x
	for target in FuzzPage FuzzReported FuzzDeclared FuzzReport FuzzMachine FuzzJob FuzzAnswers FuzzCredentials FuzzDeadline; do go test ./platform -run '^$$' -fuzz "^$$target$$" -fuzztime 10s -fuzzminimizetime 10x || exit 1; done
	go test ./jaynode -run '^$$' -fuzz '^FuzzStored$$' -fuzztime 10s -fuzzminimizetime 10x

soak: ## run the fault soak with ten fresh seeds
	JAYTHREAD_SOAK_SEEDS=fresh:10 go test ./jaysoak -v -count=1 -timeout 30m

generate: ## generate the wire types anew
	mkdir -p .tools
	GOBIN=$(CURDIR)/.tools go install $(BUF)
	GOBIN=$(CURDIR)/.tools go install $(PROTOC_GEN_GO)
	PATH=$(CURDIR)/.tools:$$PATH buf generate
