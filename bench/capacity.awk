# Multiplies measured slopes out at the size designed for. Input: lines
# "case size1 size2 unit instr1 instr2 heap1 heap2".
{
	slope = $3 > $2 ? ($6 - $5) / ($3 - $2) : 0
	at0[$1] = $5 - slope * $2
	per[$1] = slope
	bytes[$1] = $3 > $2 ? ($8 - $7) / ($3 - $2) : 0
}

function cost(name, size) {
	return at0[name] + per[name] * size
}

function row(what, count, each) {
	total += count * each
	printf "| %s | %.1f | %.0f | %.2f |\n", what, count, each,
	       100 * count * each / CORE
}

function bound(name, value, target) {
	state = value <= target ? "ok" : "MISSED"
	printf "bound %s %.2f %.2f %s\n", name, value, target, state > "/dev/stderr"
	printf "| %s | %.2f | %.2f | %s |\n", name, value, target, state
}

function info(name, value) {
	printf "| %s | %.2f | | |\n", name, value
}

END {
	CORE = 2e9             # instructions a second of one core, for the sums
	NODES = 400; ENGINES = 1300; REQUESTS = 25000; TOKENS = 5.7e6
	CUSTOMERS = 2200; MODELS = 23; CHANGES = 1300
	SUBSET = 8             # sidecars of a model that an entry keeps to
	conns = SUBSET * MODELS
	beats = 1              # a second: entry to sidecar; the state is the way back's
	states = 1
	HEADERS = 40           # bytes of IP and TCP before a message
	back = conns * NODES / ENGINES
	wait = 100; tick = 100 # waiting requests; ticks a second
	SPAN = 10              # seconds that a request runs

	rq = REQUESTS / NODES; tk = TOKENS / NODES
	srq = REQUESTS / ENGINES; stk = TOKENS / ENGINES
	chunk = (cost("entry-request-100-chunks", SUBSET) - cost("entry-request", SUBSET)) / 100
	schunk = (cost("side-request-100-chunks", 0) - cost("side-request", 0)) / 100

	print "## An entry, one of " NODES ", at the peak"
	print ""
	print "| work | a second | instructions each | % of a core |"
	print "|---|---|---|---|"
	total = 0
	row("heartbeats sent", beats * conns, cost("wire-beat", 1))
	row("states of sidecars", states * conns, cost("entry-state", SUBSET) + cost("wire-state", 1))
	row("facts merged", 100, cost("facts-merge", 1000) + per["wire-facts"])
	row("configuration changes", CHANGES / 86400, cost("intent-accept", CUSTOMERS))
	row("gates of moves", 10, cost("move-tick", NODES))
	row("ticks, requests waiting", tick, cost("entry-tick", wait))
	row("ticks, requests running", tick, cost("entry-tick-running", rq * SPAN))
	standing = 100 * total / CORE
	total = 0
	row("offers, grants, answers of requests", rq, cost("entry-request", SUBSET) + 4 * cost("wire-offer", 1) + cost("move-request", NODES) + cost("customer-lookup", CUSTOMERS))
	requests = 100 * total / CORE
	row("chunks passed on, one for each token", tk, chunk + cost("wire-chunk", 200))
	print ""
	ebytes = conns * (beats * beat + states * state) + CHANGES / 86400 * conf
	erq = rq * request_bytes
	# A move's registers: 8 metrics of 2 versions at the sidecars an entry keeps
	# to. Today every entry's registers are passed on to every process.
	registers = 8 * 2 * SUBSET
	emove = registers * NODES * fact
	emem = (wait * bytes["entry-tick"] + rq * SPAN * bytes["entry-tick-running"] + conns * (bytes["entry-state"] + 4096) + CUSTOMERS * bytes["intent-accept"]) / 1e6
	print "## A sidecar, one of " ENGINES ", at the peak"
	print ""
	print "| work | a second | instructions each | % of a core |"
	print "|---|---|---|---|"
	total = 0
	row("heartbeats taken", beats * back, cost("wire-beat", 1))
	row("states sent", states * back, cost("wire-state", 1))
	row("facts merged", 100, cost("facts-merge", 1000) + per["wire-facts"])
	row("configuration changes", CHANGES / 86400, cost("intent-accept", CUSTOMERS))
	row("ticks, requests waiting", tick, cost("side-tick", wait))
	row("ticks, requests running", tick, cost("side-tick-running", srq * SPAN))
	sstanding = 100 * total / CORE
	total = 0
	row("offers, grants, answers of requests", srq, cost("side-request", wait) + 4 * cost("wire-offer", 1))
	srequests = 100 * total / CORE
	row("chunks passed on, one for each token", stk, schunk + cost("wire-chunk", 200))
	print ""
	sbytes = back * (beats * beat + states * state) + CHANGES / 86400 * conf
	smem = (wait * bytes["side-tick"] + srq * SPAN * bytes["side-tick-running"] + back * 4096 + CUSTOMERS * bytes["intent-accept"]) / 1e6

	print "## Against the targets"
	print ""
	print "| line | value | target | |"
	print "|---|---|---|---|"
	bound("entry-control-percent-of-a-core", standing + requests, 1.9)
	bound("entry-control-KB-a-second-standing", ebytes / 1000, 14)
	bound("entry-control-KB-a-second-with-offers", (ebytes + erq) / 1000, 14)
	bound("entry-control-KB-a-second-in-a-move", (ebytes + emove) / 1000, 14)
	info("entry-control-KB-a-second-standing-with-headers", (ebytes + HEADERS * conns * (beats + states)) / 1000)
	bound("entry-control-MB", emem, 64)
	bound("sidecar-control-percent-of-a-core", sstanding + srequests, 1.9)
	bound("sidecar-control-KB-a-second-standing", sbytes / 1000, 14)
	bound("sidecar-control-MB", smem, 64)
}
