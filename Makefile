# The commands of README.md in short. Everything needs Go alone.
.PHONY: build demo test

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

demo: build
	bin/kitewood-lab demo

test: build
	bash .ci/run
