# make day: plays the bad day through real sockets; make test: what CI runs.
PY = .venv/bin/python
DAY = days/deadline-week.json5

.venv/ready: requirements.txt
	test -x $(PY) || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch .venv/ready

day: .venv/ready
	$(PY) -m ternlane day play $(DAY)

test:
	bash .ci/run

.PHONY: day test
