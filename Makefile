# The commands of README.md in short. Everything needs Go alone.
.PHONY: build demo test

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

demo: build
	bin/kitewood-lab demo

test: build
	bash .ci/run
